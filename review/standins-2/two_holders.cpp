// A machine that is cut off from the store and the other machines, and one that is added meanwhile:
// who gives orders to the engines of their zone?
// Usage: two_holders RECORD FOLDER; with TROUBLE=0 nothing is cut.
#include "engine.h"

using namespace review;

namespace {

constexpr double leaseS = 3.0; ///< LeaseMs
constexpr double thawS = 0.3; ///< ThawMs
constexpr double cutS = 12.0; ///< node_cut
constexpr double killS = 9.0; ///< node_kill, after the cut; the added machine has noted its claims by then
constexpr int restartMs = 500;

/** Streams of many adapters, one after the other, to one machine. */
void press(const Daemon &vm, int salt, const std::atomic<bool> &stop, std::atomic<int> &served)
{
    int number = 0;
    Wire wire;
    while (!stop) {
        if (wire.fd < 0)
            wire = {connectTo(vm.ip, vm.base), {}};
        ++number;
        const std::string id = vm.name + "-" + std::to_string(salt) + "-" + std::to_string(number);
        const int adapter = (number * 7 + salt * 13) % 60 + 1;
        Message reply;
        if (wire.fd >= 0
            && sendAll(wire.fd, requestHead("POST", "/stream/x", id, 5000,
                                            "X-Model: m0/a" + std::to_string(adapter)
                                                + "\r\nX-Token-Count: 100,20\r\nX-Prompt-Prefix: " + std::to_string(number)
                                                + ":100\r\nContent-Length: 2\r\n")
                           + "hi"))
            reply = wire.read(true, 6000);
        served += reply.status() == 200 && reply.whole ? 1 : 0;
        record.line("client: %s for a%d at %s: %s", id.c_str(), adapter, vm.name.c_str(),
                    reply.ok ? reply.first.c_str() : "no answer");
        if (!reply.ok) {
            if (wire.fd >= 0)
                close(wire.fd);
            wire = {};
        }
        sleepMs(150);
    }
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
    EngineRunner first("i-1", "llm", "z-a");
    EngineRunner second("i-2", "llm", "z-a");
    for (EngineRunner *engine : {&first, &second})
        store.put("keyed.servers", engine->runner.id, engine->entry());
    Json route = plainRoute("stream", "streaming", "llm", 2, 5000);
    route["TargetLatencyMs"] = 1000;
    route["GapTargetMs"] = 400;
    route["SessionAffinity"] = true;
    route["Resumable"] = true;
    const Json config{{"Version", 7}, {"Routes", Json::array({route})},
                      {"Services", Json::array({engineService("llm")})}, {"Limits", limitsJson()}};
    store.put("keyed.op", "config", config.dump());

    const std::string net = "127.74." + std::to_string(getpid() % 250 + 1) + ".";
    Daemon old("vm-1", "z-a", net + "1", argv[2]);
    Daemon added("vm-2", "z-a", net + "2", argv[2]);
    const std::string listenIp = net + "101";
    const int base = freePorts({old.ip, added.ip, listenIp});
    CutProxy toStore(net + "201", 0, "127.0.0.1", store.server.port);
    CutProxy toOld(old.ip, base + 3, listenIp, base + 3);
    const std::vector<std::string> seeds{old.ip + ":" + std::to_string(base + 2)};
    old.start(toStore.server.text(), seeds, true, base, {{"peersListen", listenIp + ":" + std::to_string(base + 3)}});
    if (!old.awaitReady(20000)) {
        old.end();
        return 2;
    }
    sleepMs(9000); // its lease has begun, and it is in touch

    std::atomic<bool> stop{false};
    std::atomic<int> servedByOld{0};
    std::atomic<int> servedByAdded{0};
    std::vector<std::thread> clients;
    for (int salt = 1; salt <= 3; ++salt)
        clients.emplace_back([&, salt] { press(old, salt, stop, servedByOld); });
    sleepMs(4000);

    const double cutAt = now();
    const auto setCut = [&](bool cut, const char *what) {
        toStore.cut = cut && trouble;
        toOld.cut = cut && trouble;
        record.line("%s%s", what, trouble ? "" : " (left out)");
    };
    setCut(true, "node_cut: vm-1 is cut off from the store and all machines");
    sleepMs(300);
    added.start(store.server.text(), seeds, false, base);
    record.line("add_nodes: vm-2 is added");
    added.awaitReady(5000);
    for (int salt = 4; salt <= 6; ++salt)
        clients.emplace_back([&, salt] { press(added, salt, stop, servedByAdded); });
    while (now() < cutAt + killS)
        sleepMs(10);
    if (trouble) {
        added.send(SIGKILL);
        added.wait(2000);
        sleepMs(restartMs);
        added.start(store.server.text(), seeds, false, base);
    }
    record.line("node_kill: vm-2 is killed and started again%s", trouble ? "" : " (left out)");
    const double healAt = cutAt + cutS;
    while (now() < healAt)
        sleepMs(10);
    setCut(false, "the cut has healed");
    sleepMs(3000);
    stop = true;
    for (std::thread &client : clients)
        client.join();
    old.end();
    added.end();

    // Turns: one holder, another one, and the first again, all within LeaseMs.
    int turns = 0;
    std::map<std::string, int> byHolder;
    const std::lock_guard guard(ordersMutex);
    for (const std::string engine : {"i-1", "i-2"}) {
        std::vector<Order> here;
        for (const Order &order : orders) {
            const bool excused = order.at > healAt && order.at < healAt + thawS;
            if (order.engine == engine && !excused)
                here.push_back(order);
        }
        for (std::size_t at = 0; at < here.size(); ++at) {
            ++byHolder[here[at].holder];
            bool other = false;
            for (std::size_t later = at + 1; later < here.size() && here[later].at - here[at].at < leaseS; ++later) {
                const bool same = here[later].holder == here[at].holder;
                if (same && other) {
                    ++turns;
                    if (turns <= 5)
                        record.line("broken: %s gets orders of %s at %.3f and %.3f, and of another holder between them",
                                    engine.c_str(), here[at].holder.c_str(), here[at].at, here[later].at);
                    break;
                }
                other = other || !same;
            }
        }
    }
    for (const auto &[holder, count] : byHolder)
        std::printf("%s gave %d orders\n", holder.c_str(), count);
    std::printf("streams served: %d by vm-1, %d by vm-2; orders followed by another holder's and the same one's within %.0f s: %d\n",
                servedByOld.load(), servedByAdded.load(), leaseS, turns);
    std::fflush(stdout);
    if (servedByOld < 20)
        _exit(2);
    _exit(turns > 0 ? 1 : 0);
}
