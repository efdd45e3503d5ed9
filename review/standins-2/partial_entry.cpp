// An entry of another writer that lacks fields, and who gets the requests of the service it names.
// Usage: partial_entry RECORD FOLDER; TROUBLE=0 in the environment leaves the entry out.
#include "standin.h"

using namespace review;

namespace {

constexpr int requestsOfEach = 100;
constexpr int pauseMs = 60;

struct Tally
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> denied{0}; ///< 3xx or 4xx without a runner's seal, other than 408, 421 and 429
    std::atomic<int> other{0};
};

void press(const Daemon &vm, const std::string &route, Tally &tally)
{
    Wire wire;
    for (int number = 1; number <= requestsOfEach; ++number) {
        if (wire.fd < 0)
            wire = {connectTo(vm.ip, vm.base), {}};
        const std::string id = route + "-" + vm.name + "-" + std::to_string(number);
        const bool once = route == "once";
        ++tally.sent;
        record.line("client sends %s to %s", id.c_str(), vm.name.c_str());
        Message reply;
        if (sendAll(wire.fd,
                    requestHead(once ? "POST" : "GET", "/" + route + "/x", id, 3000,
                                once ? "Content-Length: 2\r\n" : "")
                        + (once ? "hi" : "")))
            reply = wire.read(true, 4000);
        const int status = reply.status();
        const bool sealed = reply.has("X-Server-Seal");
        const bool ownRefusal = status >= 300 && status < 500 && status != 408 && status != 421
            && status != 429 && !sealed;
        if (status == 200 && sealed)
            ++tally.served;
        else if (ownRefusal)
            ++tally.denied;
        else
            ++tally.other;
        record.line("client: %s %s, %s seal", id.c_str(), reply.ok ? reply.first.c_str() : "no answer",
                    sealed ? "with" : "without");
        if (!reply.ok) {
            close(wire.fd);
            wire = {};
        }
        sleepMs(pauseMs);
    }
    close(wire.fd);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";

    Store store;
    std::vector<std::unique_ptr<Runner>> runners;
    for (const std::string number : {"1", "2", "3", "4"}) {
        runners.push_back(std::make_unique<Runner>("i-" + number, "app", number < "3" ? "z-a" : "z-b"));
        store.put("keyed.servers", runners.back()->id, runners.back()->entry());
    }
    const Json config{
        {"Version", 7},
        {"Routes", Json::array({plainRoute("safe", "idempotent", "app", 2), plainRoute("once", "non_idempotent", "app", 1)})},
        {"Services", Json::array({{{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConnections", 100}}})},
        {"Limits", limitsJson()}};
    store.put("keyed.op", "config", config.dump());

    // Some other HTTP service: it knows one path, and answers 404 to all others.
    Server inventory;
    std::atomic<int> reachedInventory{0};
    inventory.run([&](Wire &wire) {
        while (true) {
            const Message request = wire.read(false);
            if (!request.ok || !request.whole)
                return;
            const bool known = request.target() == "/inventory";
            if (!known) {
                ++reachedInventory;
                record.line("the other service gets %s [%s], answers 404",
                            request.get("X-Attempt-Id").c_str(), request.first.c_str());
            }
            if (!sendAll(wire.fd, known ? answer("200 OK", "", "{}") : answer("404 Not Found", "", "no such page")))
                return;
        }
    });

    const std::string net = "127.73." + std::to_string(getpid() % 250 + 1) + ".";
    std::vector<std::unique_ptr<Daemon>> vms;
    std::vector<std::string> ips;
    for (int number = 1; number <= 2; ++number) {
        ips.push_back(net + std::to_string(number));
        vms.push_back(std::make_unique<Daemon>("vm-" + std::to_string(number), number == 1 ? "z-a" : "z-b", ips.back(), argv[2]));
    }
    const int base = freePorts(ips);
    std::vector<std::string> seeds;
    for (const auto &ip : ips)
        seeds.push_back(ip + ":" + std::to_string(base + 2));
    for (const auto &vm : vms)
        vm->start(store.server.text(), seeds, true, base);
    for (const auto &vm : vms) {
        if (!vm->awaitReady(20000)) {
            for (const auto &each : vms)
                each->end();
            return 2;
        }
    }
    sleepMs(4000); // in touch: calm for StableWindowMs
    if (trouble) {
        const Json entry{{"Service", "app"},       {"Address", inventory.text()}, {"Zone", "z-a"},
                         {"Slots", 6},             {"State", "in_service"},       {"Sequence", 1}};
        record.line("another writer puts servers/inventory-1: %s", entry.dump().c_str());
        store.put("keyed.servers", "inventory-1", entry.dump());
    }
    sleepMs(1500);
    Tally tally;
    std::vector<std::thread> clients;
    for (const auto &vm : vms) {
        for (const std::string route : {"safe", "once"})
            clients.emplace_back([&vm, route, &tally] { press(*vm, route, tally); });
    }
    for (std::thread &client : clients)
        client.join();
    for (const auto &vm : vms)
        vm->end();
    const int allowed = 5 + tally.sent / 500;
    std::printf("requests: %d sent, %d served, %d ended with a 4xx that no runner gave (allowed: %d), %d others; "
                "the other service got %d\n",
                tally.sent.load(), tally.served.load(), tally.denied.load(), allowed, tally.other.load(),
                reachedInventory.load());
    record.line("%d of %d requests ended with a 4xx that no runner gave; allowed are %d", tally.denied.load(),
                tally.sent.load(), allowed);
    std::fflush(stdout);
    if (!trouble && tally.served < tally.sent / 2)
        _exit(2);
    _exit(tally.denied > allowed ? 1 : 0);
}
