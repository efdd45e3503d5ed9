// A runner's stray second answer to a refusal is taken for the answer to the same request's next
// attempt, on the same connection: a request that may run once runs twice.

#include <cstdlib>
#include <iostream>

#include "Scene.h"

namespace {

using namespace review;
using Json = nlohmann::json;

constexpr const char *service = "llm";
constexpr const char *model = "m0";
constexpr int runnerCount = 9;
constexpr int spoiledRunners = 5; ///< a share of 0.56
constexpr double spoiledShare = 0.03; ///< of a runner's answers
constexpr long long spoilFor = 5000; ///< ms
constexpr long long spoilWithinMs = 80; ///< of the end of the load that a refusal is for
constexpr int backgroundCallers = 16; ///< at the first VM
constexpr long long backgroundPauseMs = 20;
constexpr int adapterCallers = 48; ///< at the second VM; they come in groups
constexpr int groups = 4;
constexpr long long groupPauseMs = 700;
constexpr int adaptersPerCaller = 8;
constexpr int rounds = 3; ///< of fresh deployments, until the rule breaks
constexpr long long startToTrafficMs = 10000;
constexpr long long untilAdaptersMs = 1700;

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
    const Json route{{"Name", "once"},         {"Host", sceneHost},
                     {"PathPrefix", "/once/"}, {"RouteType", "streaming"},
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

Call streamCall(std::string attempt, std::string modelName, int events)
{
    Call call;
    call.attempt = std::move(attempt);
    call.path = "/once/a";
    call.model = std::move(modelName);
    call.events = events;
    return call;
}

/** Starts a deployment and plays the case once; the exit status. */
int play(Log &log, const std::string &program, const std::string &folder, const std::string &round,
         bool spoils)
{
    log.line("round " + round);
    RunLog runs(log);
    LoadCount loads{0};
    Store store("127.0.0.1", 12);
    store.put("keyed.op", "config", configuration().dump());

    std::atomic<long long> spoilFrom{-1};
    std::vector<std::atomic<int>> answersBefore(runnerCount);
    std::vector<std::unique_ptr<Runner>> runners;
    for (int index = 0; index < runnerCount; ++index) {
        RunnerSettings settings;
        settings.address = "127.0.0.1";
        settings.zone = sceneZone;
        settings.service = service;
        settings.model = model;
        runners.push_back(std::make_unique<Runner>("i-" + std::to_string(index), settings, store,
                                                   loads, runs, log));
        if (!spoils || index >= spoiledRunners)
            continue;
        const std::atomic<int> &before = answersBefore[static_cast<std::size_t>(index)];
        runners.back()->spoil = [&spoilFrom, &before](Runner &runner, long long loadedInMs) {
            const long long from = spoilFrom;
            const bool now = from >= 0 && nowMs() >= from && nowMs() < from + spoilFor;
            const bool retryMayRun = loadedInMs > 0 && loadedInMs <= spoilWithinMs;
            return now && retryMayRun
                && runner.spoiled + 1 <= spoiledShare * (runner.answers - before);
        };
    }
    Vms vms(program, folder, 2, store.port());
    if (!vms.start())
        return 2;
    sleepMs(startToTrafficMs);

    Callers callers(log, vms);
    std::atomic<bool> stop{false};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < backgroundCallers; ++caller) {
        threads.emplace_back([&callers, &stop, &round, caller] {
            std::unique_ptr<Connection> connection;
            for (int number = 0; !stop; ++number) {
                const std::string attempt =
                    round + "-base-" + std::to_string(caller) + "-" + std::to_string(number);
                callers.call(connection, 0, streamCall(attempt, model, 1));
                sleepMs(backgroundPauseMs);
            }
        });
    }
    sleepMs(500);
    for (std::size_t index = 0; index < runners.size(); ++index)
        answersBefore[index] = runners[index]->answers.load();
    spoilFrom = nowMs();
    if (spoils)
        log.line("from now on " + std::to_string(spoiledRunners) + " of "
                 + std::to_string(runnerCount) + " runners send stray second answers, for "
                 + std::to_string(spoilFor) + " ms");
    sleepMs(untilAdaptersMs);
    for (int caller = 0; caller < adapterCallers; ++caller) {
        threads.emplace_back([&callers, &round, caller] {
            sleepMs(groupPauseMs * (caller % groups));
            std::unique_ptr<Connection> connection;
            for (int number = 0; number < adaptersPerCaller; ++number) {
                const std::string attempt =
                    round + "-adapter-" + std::to_string(caller) + "-" + std::to_string(number);
                const std::string name = std::string(model) + "/a"
                    + std::to_string(1 + caller + number * adapterCallers);
                callers.call(connection, 1, streamCall(attempt, name, 20));
                sleepMs(100);
            }
        });
    }
    sleepMs(spoilFor + 4000);
    stop = true;
    for (std::thread &thread : threads)
        thread.join();
    vms.stop();
    for (const auto &runner : runners)
        log.line("runner " + runner->id + ": " + std::to_string(runner->answers) + " answers, "
                 + std::to_string(runner->spoiled) + " with a stray second one");
    return judge(log, runs, callers);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 4) {
        std::cerr << "usage: case2 DAEMON RECORD FOLDER\n";
        return 2;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool spoils = trouble == nullptr || std::string(trouble) != "0";
    Log log(argv[2]);
    for (int round = 1; round <= rounds; ++round) {
        const int status = play(log, argv[1], argv[3], "r" + std::to_string(round), spoils);
        if (status != 0)
            return status;
    }
    return 0;
}
