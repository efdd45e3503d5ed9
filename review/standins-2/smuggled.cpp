// Requests whose Transfer-Encoding does not end with "chunked", and what the runners run of them.
// Usage: smuggled RECORD FOLDER; with TROUBLE=0 the same bodies are sent with a length.
#include "standin.h"

using namespace review;

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";

    Store store;
    Runner first("i-1", "app", "z-a");
    Runner second("i-2", "app", "z-a");
    for (const Runner *runner : {&first, &second})
        store.put("keyed.servers", runner->id, runner->entry());
    const Json config{
        {"Version", 7},
        {"Routes", Json::array({plainRoute("once", "non_idempotent", "app", 1)})},
        {"Services", Json::array({{{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConnections", 100}}})},
        {"Limits", limitsJson()}};
    store.put("keyed.op", "config", config.dump());

    Daemon vm("vm-1", "z-a", "127.72." + std::to_string(getpid() % 250 + 1) + ".1", argv[2]);
    vm.start(store.server.text(), {}, true, freePorts({vm.ip}));
    if (!vm.awaitReady(20000)) {
        vm.end();
        return 2;
    }
    sleepMs(1000);

    std::map<std::string, std::string> sentBodies; // by id
    int answered = 0;
    int number = 0;
    for (const std::string coding : {"gzip", "identity", "chunked, identity", "xchunked", "chunked, gzip"}) {
        const std::string id = "sent-" + std::to_string(++number);
        // A document that holds the text of a request, such as a log that is handed in.
        const std::string body =
            requestHead("POST", "/once/inner", "inside-" + std::to_string(number), 3000, "Content-Length: 2\r\n")
            + "hi";
        sentBodies[id] = body;
        const std::string framing = trouble ? "Transfer-Encoding: " + coding + "\r\n"
                                            : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        Wire wire{connectTo(vm.ip, vm.base), {}};
        record.line("client sends %s, one request, with \"%s\"", id.c_str(),
                    framing.substr(0, framing.size() - 2).c_str());
        sendAll(wire.fd, requestHead("POST", "/once/x", id, 3000, framing) + body);
        while (true) {
            const Message reply = wire.read(true, 1500);
            if (!reply.ok)
                break;
            ++answered;
            record.line("client gets on the connection of %s: %s, for %s", id.c_str(),
                        reply.first.c_str(), reply.get("X-Attempt-Id").c_str());
        }
        close(wire.fd);
    }
    vm.end();

    int smuggled = 0;
    int changed = 0;
    const std::lock_guard guard(runsMutex);
    for (const Run &run : runs) {
        const auto sent = sentBodies.find(run.id);
        if (sent == sentBodies.end()) {
            ++smuggled;
            record.line("broken: a runner ran %s, which no client sent", run.id.c_str());
        } else if (sent->second != run.body) {
            ++changed;
            record.line("broken: a runner ran %s with a body of %zu bytes; %zu were sent",
                        run.id.c_str(), run.body.size(), sent->second.size());
        }
    }
    std::printf("%zu requests sent, %d answers, %zu runs: %d of requests that nobody sent, %d with another body\n",
                sentBodies.size(), answered, runs.size(), smuggled, changed);
    std::fflush(stdout);
    if (!trouble && runs.size() < sentBodies.size())
        _exit(2);
    _exit(smuggled + changed > 0 ? 1 : 0);
}
