#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Platform.h"
#include "Runner.h"

namespace review {

constexpr const char *sceneHost = "plans.example";
constexpr const char *sceneZone = "halle-a";

/** The limits of the small installations. */
nlohmann::json callerLimits();

/** Daemons of one zone, at 127.0.0.1, 127.0.0.2 and so on, with the settings of the template. */
class Vms
{
public:
    Vms(const std::string &program, const std::string &folder, int count, int storePort);

    /** Starts all; false if one is not ready within 10 s. */
    bool start();
    /** Sends SIGTERM to all and waits for their ends. */
    void stop();

    std::string addressOf(std::size_t vm) const;
    int callersPort = 0;

private:
    bool isReady(std::size_t vm) const;

    int readyPort = 0;
    std::vector<std::unique_ptr<Daemon>> daemons;
};

/** A request of a caller. */
struct Call
{
    std::string attempt;
    std::string path;
    std::string model; ///< empty: of a plain service
    int events = 0;
    long long budgetMs = 5000;
};

/** What a request's caller saw. */
struct Seen
{
    std::string status = "none";
    bool complete = false;
};

/** Sends requests and keeps what came of them. */
class Callers
{
public:
    Callers(Log &log, const Vms &vms)
        : log(log)
        , vms(vms)
    { }

    /** Sends a request to a VM on a connection that is kept, and waits for its answer. */
    Seen call(std::unique_ptr<Connection> &connection, std::size_t vm, const Call &request);

    std::map<std::string, Seen> all();

private:
    Log &log;
    const Vms &vms;
    std::mutex mutex;
    std::map<std::string, Seen> seen;
};

/**
 * Whether rules TWICE and REFUSED held for requests that may run once, as an exit status. All
 * requests of the run have to be such requests.
 */
int judge(Log &log, RunLog &runs, Callers &callers);

} // namespace review
