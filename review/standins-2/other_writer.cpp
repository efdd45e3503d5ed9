// An entry of another writer among the runners' entries, and what becomes of the daemons.
// Usage: other_writer RECORD FOLDER; TROUBLE=0 in the environment leaves the entry out.
#include "standin.h"

using namespace review;

namespace {

constexpr int nestedLevels = 80000;
constexpr std::size_t recordBytes = 262144; ///< the longest record that the store takes
constexpr double entryAt = 4;
constexpr double playedFor = 24;
constexpr int restartDelayMs = 500;

/**
 * What another writer left under a key of its own: no address, and `Models` of another type, lists
 * in lists. The remark holds as many closing brackets as `Models` has opening ones.
 */
std::string entryOfAnotherWriter()
{
    return "{\"Writer\":\"inventory\",\"Remark\":\"" + std::string(nestedLevels, ']')
        + "\",\"Service\":\"app\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"z-a\",\"Slots\":6,"
          "\"State\":\"in_service\",\"Sequence\":1,\"Models\":"
        + std::string(nestedLevels, '[') + std::string(nestedLevels, ']') + "}";
}

struct Tally
{
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> unanswered{0};
};

/** Requests to one daemon, one after the other on a kept connection. */
void press(const Daemon &vm, Tally &tally, const std::atomic<bool> &stop)
{
    int number = 0;
    Wire wire;
    while (!stop) {
        if (wire.fd < 0)
            wire = {connectTo(vm.ip, vm.base), {}};
        const std::string id = vm.name + "-" + std::to_string(++number);
        ++tally.sent;
        record.line("client sends %s to %s", id.c_str(), vm.name.c_str());
        Message reply;
        if (wire.fd >= 0 && sendAll(wire.fd, requestHead("GET", "/safe/x", id, 3000, "")))
            reply = wire.read(true, 4000);
        tally.served += reply.status() == 200 ? 1 : 0;
        tally.unanswered += reply.ok ? 0 : 1;
        record.line("client: %s %s", id.c_str(), reply.ok ? reply.first.c_str() : "no answer");
        if (!reply.ok && wire.fd >= 0)
            close(wire.fd);
        if (!reply.ok)
            wire = {};
        sleepMs(100);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3)
        return 2;
    signal(SIGPIPE, SIG_IGN);
    record.open(argv[1]);
    const std::string folder = argv[2];
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
        {"Routes", Json::array({plainRoute("safe", "idempotent", "app", 2)})},
        {"Services", Json::array({{{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConnections", 100}}})},
        {"Limits", limitsJson()}};
    store.put("keyed.op", "config", config.dump());

    const std::string net = "127.71." + std::to_string(getpid() % 250 + 1) + ".";
    std::vector<std::unique_ptr<Daemon>> vms;
    std::vector<std::string> ips;
    for (int number = 1; number <= 3; ++number) {
        ips.push_back(net + std::to_string(number));
        vms.push_back(std::make_unique<Daemon>("vm-" + std::to_string(number),
                                               number < 3 ? "z-a" : "z-b", ips.back(), folder));
    }
    const int base = freePorts(ips);
    std::vector<std::string> seeds;
    for (const auto &ip : ips)
        seeds.push_back(ip + ":" + std::to_string(base + 2));
    for (const auto &vm : vms)
        vm->start(store.server.text(), seeds, true, base);
    for (const auto &vm : vms) {
        if (!vm->awaitReady(20000)) {
            std::printf("%s did not become ready\n", vm->name.c_str());
            for (const auto &each : vms)
                each->end();
            return 2;
        }
    }
    sleepMs(2500); // the VMs find each other

    Tally tally;
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    const double begun = now();
    for (const auto &vm : vms)
        clients.emplace_back([&vm, &tally, &stop] { press(*vm, tally, stop); });

    const std::string entry = entryOfAnotherWriter();
    std::map<std::string, int> ownEnds;
    std::map<std::string, double> restartAt;
    bool written = false;
    while (now() - begun < playedFor) {
        if (trouble && !written && now() - begun > entryAt) {
            record.line("another writer puts servers/inventory-1, a record of %zu bytes of %zu",
                        entry.size(), recordBytes);
            store.put("keyed.servers", "inventory-1", entry);
            written = true;
        }
        for (const auto &vm : vms) {
            if (vm->pid > 0 && vm->wait(0)) {
                ++ownEnds[vm->name];
                record.line("%s ended by itself: %s %d", vm->name.c_str(),
                            WIFSIGNALED(vm->exitStatus) ? "signal" : "exit",
                            WIFSIGNALED(vm->exitStatus) ? WTERMSIG(vm->exitStatus)
                                                        : WEXITSTATUS(vm->exitStatus));
                restartAt[vm->name] = now() + restartDelayMs / 1000.0;
            }
            if (vm->pid == 0 && now() > restartAt[vm->name])
                vm->start(store.server.text(), seeds, false, base);
        }
        sleepMs(20);
    }
    stop = true;
    for (std::thread &client : clients)
        client.join();
    for (const auto &vm : vms)
        vm->end();

    int machines = 0;
    for (const auto &[name, ends] : ownEnds) {
        machines += ends >= 3 ? 1 : 0;
        std::printf("%s ended by itself %d times\n", name.c_str(), ends);
    }
    std::printf("requests: %d sent, %d served, %d without an answer\n", tally.sent.load(),
                tally.served.load(), tally.unanswered.load());
    record.line("machines whose process ended by itself three times or more: %d of %zu", machines,
                vms.size());
    if (!trouble && tally.served < tally.sent / 2)
        _exit(2);
    std::fflush(stdout);
    _exit(machines >= 2 ? 1 : 0);
}
