// A runner that starts again under its id after its clock was set back, and later leaves.
// Usage: older_start RECORD FOLDER; with TROUBLE=0 its clock was right all the time.
#include "standin.h"

using namespace review;

namespace {

constexpr double drainS = 2.0; ///< DrainMs
constexpr std::int64_t clockAheadMs = 2400; ///< clock_step
constexpr int upBeforeCrashMs = 1000;
constexpr int downMs = 500;
constexpr int calmMs = 5000; ///< longer than StableWindowMs
constexpr double leavesForS = 9.0; ///< DrainMs and a little longer, at times many seconds

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void press(const Daemon &vm, int salt, const std::atomic<bool> &stop, std::atomic<int> &served, std::atomic<int> &other)
{
    Wire wire;
    for (int number = 1; !stop; ++number) {
        if (wire.fd < 0)
            wire = {connectTo(vm.ip, vm.base), {}};
        const std::string id = vm.name + "-" + std::to_string(salt) + "-" + std::to_string(number);
        Message reply;
        if (wire.fd >= 0 && sendAll(wire.fd, requestHead("POST", "/once/x", id, 3000, "Content-Length: 2\r\n") + "hi"))
            reply = wire.read(true, 4000);
        (reply.status() == 200 ? served : other) += 1;
        if (reply.status() != 200)
            record.line("client: %s %s", id.c_str(), reply.ok ? reply.first.c_str() : "no answer");
        if (!reply.ok) {
            if (wire.fd >= 0)
                close(wire.fd);
            wire = {};
        }
        sleepMs(60);
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
    std::vector<std::unique_ptr<Runner>> runners;
    for (const std::string number : {"1", "2", "3", "4"}) {
        runners.push_back(std::make_unique<Runner>("i-" + number, "app", number < "3" ? "z-a" : "z-b"));
        runners.back()->born = unixMs();
    }
    // The runner in question: it refuses connections while it is down, as far as its callers can see.
    Runner &runner = *runners.front();
    std::atomic<bool> down{false};
    std::atomic<bool> leaving{false};
    runner.handle = [&](Wire &wire, Message &request) {
        if (down) {
            resetClose(std::exchange(wire.fd, -1));
            return true;
        }
        if (!leaving)
            return false;
        runner.noteRun(request);
        sleepMs(20);
        sendAll(wire.fd, answer("200 OK", runner.headOf(request) + "Connection: close\r\n", "answer"));
        close(std::exchange(wire.fd, -1));
        return true;
    };
    for (const auto &each : runners)
        store.put("keyed.servers", each->id, each->entry());
    const Json config{
        {"Version", 7},
        {"Routes", Json::array({plainRoute("once", "non_idempotent", "app", 1)})},
        {"Services", Json::array({{{"Name", "app"}, {"HealthPath", "/health"}, {"MaxConnections", 100}}})},
        {"Limits", limitsJson()}};
    store.put("keyed.op", "config", config.dump());

    const std::string net = "127.75." + std::to_string(getpid() % 250 + 1) + ".";
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
    sleepMs(4000);

    std::atomic<bool> stop{false};
    std::atomic<int> served{0};
    std::atomic<int> other{0};
    std::vector<std::thread> clients;
    for (const auto &vm : vms) {
        for (int salt = 1; salt <= 3; ++salt)
            clients.emplace_back([&, salt] { press(*vm, salt, stop, served, other); });
    }
    sleepMs(1000);

    const auto restart = [&](std::int64_t clockOffset, const char *why) {
        down = true;
        record.line("%s crashes", runner.id.c_str());
        sleepMs(downMs);
        runner.born = unixMs() + clockOffset;
        down = false;
        record.line("%s starts again under its id, born %lld: %s", runner.id.c_str(), static_cast<long long>(runner.born), why);
        store.put("keyed.servers", runner.id, runner.entry());
    };
    restart(trouble ? clockAheadMs : 0, trouble ? "its clock is 2.4 s ahead" : "its clock is right");
    sleepMs(upBeforeCrashMs);
    restart(0, "its clock is right");
    int sequence = 1;
    const auto beat = [&](double seconds, const std::string &state) {
        const double until = now() + seconds;
        while (now() < until) {
            store.put("keyed.servers", runner.id, runner.entry(state, ++sequence));
            sleepMs(std::min(1200, static_cast<int>((until - now()) * 1000) + 1));
        }
    };
    beat(calmMs / 1000.0, "in_service");
    leaving = true;
    store.put("keyed.servers", runner.id, runner.entry("draining", ++sequence));
    const double drainAt = now();
    record.line("the store has accepted that %s is draining", runner.id.c_str());
    beat(leavesForS, "draining");
    const double exitAt = now();
    down = true;
    record.line("%s exits", runner.id.c_str());
    store.put("keyed.servers", runner.id, std::nullopt);
    sleepMs(1500);
    stop = true;
    for (std::thread &client : clients)
        client.join();
    for (const auto &vm : vms)
        vm->end();

    int late = 0;
    int before = 0;
    const std::lock_guard guard(runsMutex);
    for (const Run &run : runs) {
        if (run.runner != runner.id)
            continue;
        before += run.at < drainAt ? 1 : 0;
        if (run.at > drainAt + drainS && run.at < exitAt)
            ++late;
    }
    std::printf("%s ran %d requests before it was draining, %d later than %.0f s after the store had accepted that; %d answers 200, %d others\n",
                runner.id.c_str(), before, late, drainS, served.load(), other.load());
    record.line("%d requests reached %s later than DrainMs after the ack", late, runner.id.c_str());
    std::fflush(stdout);
    if (before < 20)
        _exit(2);
    _exit(late > 0 ? 1 : 0);
}
