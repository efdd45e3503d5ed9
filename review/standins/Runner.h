#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <semaphore>
#include <string>
#include <thread>
#include <vector>

#include "Net.h"
#include "Platform.h"

namespace review {

/** One order that a runner received, with the status that it answered. */
struct Order
{
    long long at = 0;
    std::string holder;
    long long token = 0;
    int status = 0;
};

/** What is the same for all runners of a service. */
struct RunnerSettings
{
    std::string address;
    std::string zone;
    std::string service;
    std::string model; ///< empty: a plain service
    int slots = 64;
    int queue = 24; ///< requests of a plain service that wait for a slot; more are refused
    long long workMs = 60; ///< of a plain service's request
    int adapterSlots = 9;
    long long loadMs = 250; ///< while no more than `loadsAtFullSpeed` adapters are on their way
    int loadsAtFullSpeed = 8;
    long long heartbeatMs = 1200;
    long long reportLagMs = 100;
};

/** Adapters on their way from the weight store, over all runners. */
using LoadCount = std::atomic<int>;

/** Runs of each request, over all runners. */
class RunLog
{
public:
    explicit RunLog(Log &log)
        : log(log)
    { }

    void add(const std::string &runner, const std::string &attempt);
    int runsOf(const std::string &attempt);
    std::map<std::string, int> all();

private:
    Log &log;
    std::mutex mutex;
    std::map<std::string, int> runs;
};

/** A model runner, or a plain server, that registers itself in the store. */
class Runner
{
public:
    /**
     * True if the refusal that is sent now is to be followed by a stray second one; `loadedInMs` is
     * the time until the adapter that it lacks is there, 0 if it is not on its way.
     */
    using SpoilChoice = std::function<bool(Runner &, long long loadedInMs)>;

    Runner(std::string id, RunnerSettings settings, Store &store, LoadCount &loads, RunLog &runs,
           Log &log);
    ~Runner();

    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    int port() const
    {
        return this->server->port();
    }

    std::vector<Order> orders();

    SpoilChoice spoil; ///< set before traffic starts; empty: no answer is spoiled
    std::atomic<int> answers{0};
    std::atomic<int> spoiled{0};
    const std::string id;

private:
    struct Adapter
    {
        long long version = 1;
        long long readyAt = 0;
        bool loaded = false;
        int runs = 0;
    };

    bool handle(Connection &connection, const Message &request);
    bool answer(Connection &connection, const std::string &text);
    bool answerRequest(Connection &connection, const Message &request);
    bool refuse(Connection &connection, const std::string &attempt, const std::string &why,
                const std::string &refusal, long long loadedInMs = 0);
    bool answerPlain(Connection &connection, const std::string &attempt);
    bool stream(Connection &connection, const Message &request);
    int carryOut(const std::string &body);
    void finishLoads();
    std::string description();
    void heartbeat();

    RunnerSettings settings;
    Store &store;
    LoadCount &loads;
    RunLog &runs;
    Log &log;
    std::mutex mutex;
    std::map<std::string, Adapter> adapters;
    long long sequence = 0;
    std::vector<Order> orderLog;
    std::atomic<int> taken{0}; ///< requests of a plain service that run or wait
    std::counting_semaphore<> freeSlots;
    std::string report; ///< as of `reportLagMs` ago at most
    std::atomic<bool> stopping{false};
    std::unique_ptr<Server> server;
    std::thread beats;
};

} // namespace review
