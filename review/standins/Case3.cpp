// The store comes back from a copy some seconds old. A VM finds its own name in the older records
// again, takes that for a proof that nobody else has given orders since, and gives orders at once,
// with the fencing token of the VM that has been giving them.

#include <cstdlib>
#include <iostream>

#include "Scene.h"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char *service = "llm";
constexpr const char *model = "m0";
constexpr int runnerCount = 6;
constexpr int callersPerVm = 5;
constexpr long long callPauseMs = 150;
constexpr long long startToTrafficMs = 10000;
constexpr long long usualMs = 3000; ///< traffic before the copy
constexpr long long dealToDrillMs = 5000;
constexpr long long awayMs = 1000;
constexpr long long afterMs = 6000;
constexpr long long leaseMs = 3000;
constexpr long long thawMs = 300;

Json configuration()
{
    const Json modelJson{{"Name", model},
                         {"WeightsMb", 42700},
                         {"LoadS", 0.6},
                         {"Adapters", 3000},
                         {"AdapterSizeMb", 66}};
    const Json engine{{"Slots", 64},        {"KvCapacity", 245433},
                      {"WeightsMb", 44000}, {"AdapterSlots", 9},
                      {"LoadsPerS", 2.1},   {"Models", Json::array({modelJson})}};
    const Json route{{"Name", "plan"},         {"Host", sceneHost},
                     {"PathPrefix", "/plan/"}, {"RouteType", "streaming"},
                     {"TimeoutMs", 6000},      {"TargetLatencyMs", 1000},
                     {"Priority", 1},          {"Service", service},
                     {"MaxAttempts", 1},       {"Resumable", false},
                     {"GapTargetMs", 400}};
    const Json serviceJson{
        {"Name", service}, {"HealthPath", "/health"}, {"MaxConnections", 360}, {"Engine", engine}};
    return {{"Version", 3},
            {"Routes", Json::array({route})},
            {"Services", Json::array({serviceJson})},
            {"Limits", callerLimits()}};
}

/** Breaches of rule ONE by the orders that a runner received. */
int breaches(Log &log, const Runner &runner, const std::vector<Order> &orders, long long healedAt)
{
    std::map<long long, std::string> holderOf; ///< by fencing token
    long long highest = 0;
    int found = 0;
    for (std::size_t index = 0; index < orders.size(); ++index) {
        const Order &order = orders[index];
        if (order.at >= healedAt && order.at < healedAt + thawMs)
            continue;
        const std::string what =
            order.holder + " with token " + std::to_string(order.token) + " at runner " + runner.id;
        const std::string &first = holderOf.try_emplace(order.token, order.holder).first->second;
        if (first != order.holder) {
            ++found;
            log.line("ONE: " + what + ", a token that " + first + " had used there");
        }
        if (order.token < highest) {
            ++found;
            log.line("ONE: " + what + ", after a higher token");
        }
        highest = std::max(highest, order.token);
        const bool turns = index >= 2 && orders[index - 1].holder != order.holder
            && orders[index - 2].holder == order.holder
            && order.at - orders[index - 2].at < leaseMs;
        if (turns) {
            ++found;
            log.line("ONE: " + what + ", in turn with " + orders[index - 1].holder + " within "
                     + std::to_string(order.at - orders[index - 2].at) + " ms");
        }
    }
    return found;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: case3 DAEMON RECORD FOLDER\n";
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool drill = trouble == nullptr || std::string(trouble) != "0";
    Log log(argv[2]);
    RunLog runs(log);
    LoadCount loads{0};
    Store store("127.0.0.1", 12);
    store.put("keyed.op", "config", configuration().dump());
    std::vector<std::unique_ptr<Runner>> runners;
    for (int index = 0; index < runnerCount; ++index) {
        RunnerSettings settings;
        settings.address = "127.0.0.1";
        settings.zone = sceneZone;
        settings.service = service;
        settings.model = model;
        runners.push_back(std::make_unique<Runner>("i-" + std::to_string(index), settings, store,
                                                   loads, runs, log));
    }
    Vms vms(argv[1], argv[3], 2, store.port());
    if (!vms.start())
        return 2;
    sleepMs(startToTrafficMs);

    Callers callers(log, vms);
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < 2 * callersPerVm; ++caller) {
        threads.emplace_back([&callers, &stop, caller] {
            std::unique_ptr<Connection> connection;
            for (int number = 0; !stop; ++number) {
                Call call;
                call.attempt = "plan-" + std::to_string(caller) + "-" + std::to_string(number);
                call.path = "/plan/a";
                call.model = std::string(model) + "/a"
                    + std::to_string(1 + caller + number * 2 * callersPerVm);
                call.events = 4;
                callers.call(connection, static_cast<std::size_t>(caller % 2), call);
                sleepMs(callPauseMs);
            }
        });
    }
    sleepMs(usualMs);
    store.copy();
    sleepMs(500);
    log.line("the store assigns all partitions anew");
    store.rebalance();
    sleepMs(dealToDrillMs);
    long long healedAt = 0;
    if (drill) {
        log.line("the store is away");
        store.setAway(true);
        sleepMs(awayMs);
        store.restore();
        store.setAway(false);
        healedAt = nowMs();
        log.line("the store is back, from the copy");
    }
    sleepMs(afterMs);
    stop = true;
    for (std::thread &thread : threads)
        thread.join();
    vms.stop();

    int found = 0;
    std::size_t given = 0;
    for (const auto &runner : runners) {
        const std::vector<Order> orders = runner->orders();
        given += orders.size();
        found += breaches(log, *runner, orders, healedAt);
    }
    const int calls = judge(log, runs, callers);
    const std::string summary =
        "orders " + std::to_string(given) + ", breaches of ONE " + std::to_string(found);
    log.line(summary);
    std::cout << summary << "\n";
    if (calls == 2 || given == 0)
        return 2;
    return found > 0 || calls == 1 ? 1 : 0;
}
