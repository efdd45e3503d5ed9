#include "loadgen/PathBench.h"

#include <atomic>
#include <chrono>
#include <iomanip>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "loadgen/Load.h"
#include "transport/HttpClient.h"

namespace monsoonbay::loadgen {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int clientThreads = 3;
constexpr auto callTimeout = std::chrono::seconds(10);

/** One phase of the measurement, which gives one row of the table. */
struct Phase
{
    bool direct = false; ///< to the engines, not through the entry VM
    bool streamed = false;
    int tokens = 1;
    int connections = 48; ///< of all client threads together
    double requestsPerSecond = 0; ///< open loop at this rate; 0: closed loop on `connections`
    double seconds = 3;
};

struct PhaseResult
{
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t tokens = 0;
    double seconds = 0;
    std::vector<double> latencies;
};

/** An adapter and the engine where it is resident, so that direct requests do the same work. */
struct AdapterLocation
{
    std::string adapter;
    Endpoint engine;
};

/** State of one client thread. */
struct Worker
{
    Worker(const Deployment &deployment, const std::vector<AdapterLocation> &locations,
           const Phase &phase, std::size_t number)
        : deployment(deployment)
        , locations(locations)
        , phase(phase)
        , number(number)
    { }

    const Deployment &deployment;
    const std::vector<AdapterLocation> &locations;
    const Phase &phase;
    std::size_t number;
    asio::io_context context{1};
    HttpClient client{context};
    PhaseResult result{};
    std::uint64_t sent = 0;
    Clock::time_point measuredFrom{}; ///< latencies of earlier requests are left out
};

HttpCall makeCall(const Worker &worker, const AdapterLocation &location, std::uint64_t number)
{
    Json body{{"model", location.adapter},
              {"max_tokens", worker.phase.tokens},
              {"stream", worker.phase.streamed}};
    if (worker.phase.direct)
        body["request_id"] =
            "bench-" + std::to_string(worker.number) + "-" + std::to_string(number);
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/completions";
    call.body = body.dump();
    call.headers = {{"Authorization", "Bearer " + demoToken}, {"Content-Type", "application/json"}};
    return call;
}

asio::awaitable<void> sendOne(Worker &worker)
{
    const std::uint64_t number = worker.sent++;
    const AdapterLocation &location = worker.locations[number % worker.locations.size()];
    const Endpoint entryVm{worker.deployment.entryVms.front().address, callersPort};
    const Endpoint endpoint = worker.phase.direct ? location.engine : entryVm;
    HttpCall call = makeCall(worker, location, number);
    const Clock::time_point began = Clock::now();
    const HttpResult result = co_await worker.client.call(endpoint, std::move(call), callTimeout);
    if (!result.ok()) {
        ++worker.result.failed;
        co_return;
    }
    ++worker.result.answered;
    worker.result.tokens += static_cast<std::uint64_t>(worker.phase.tokens);
    if (began < worker.measuredFrom)
        co_return;
    worker.result.latencies.push_back(std::chrono::duration<double>(Clock::now() - began).count());
}

asio::awaitable<void> closedLoop(Worker &worker, Clock::time_point until)
{
    while (Clock::now() < until)
        co_await sendOne(worker);
}

// Open loop at a constant rate, so that queueing shows in the latency.
asio::awaitable<void> openLoop(Worker &worker, Clock::time_point until)
{
    asio::steady_timer timer(worker.context);
    const auto interval = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(clientThreads / worker.phase.requestsPerSecond));
    for (Clock::time_point due = Clock::now(); due < until; due += interval) {
        timer.expires_at(due);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        asio::co_spawn(worker.context, sendOne(worker), asio::detached);
    }
}

PhaseResult runPhase(const Deployment &deployment, const std::vector<AdapterLocation> &locations,
                     const Phase &phase)
{
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::thread> threads;
    const Clock::time_point began = Clock::now();
    const Clock::time_point until = began
        + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(phase.seconds));
    for (std::size_t number = 0; number < clientThreads; ++number) {
        workers.push_back(std::make_unique<Worker>(deployment, locations, phase, number));
        Worker &worker = *workers.back();
        // An open loop has to open many connections at its start. The first second is left out,
        // since that is not part of the overhead.
        if (phase.requestsPerSecond > 0)
            worker.measuredFrom = began + std::chrono::seconds(1);
        if (phase.requestsPerSecond > 0) {
            asio::co_spawn(worker.context, openLoop(worker, until), asio::detached);
        } else {
            for (int loop = 0; loop < phase.connections / clientThreads; ++loop)
                asio::co_spawn(worker.context, closedLoop(worker, until), asio::detached);
        }
        threads.emplace_back([&worker] { worker.context.run(); });
    }
    for (std::thread &thread : threads)
        thread.join();
    PhaseResult all;
    all.seconds = std::chrono::duration<double>(Clock::now() - began).count();
    for (const auto &worker : workers) {
        all.answered += worker->result.answered;
        all.failed += worker->result.failed;
        all.tokens += worker->result.tokens;
        all.latencies.insert(all.latencies.end(), worker->result.latencies.begin(),
                             worker->result.latencies.end());
    }
    return all;
}

std::vector<AdapterLocation> findResidentAdapters(const Deployment &deployment)
{
    std::vector<AdapterLocation> locations;
    for (const Target &target : deployment.targets) {
        for (const std::string &adapter : readResidentAdapters(target))
            locations.push_back({adapter, Endpoint{target.address, targetPort}});
    }
    return locations;
}

void writeRow(std::ostringstream &page, const std::string &name, const PhaseResult &result)
{
    const Quantiles quantiles = quantilesOf(result.latencies);
    page << "| " << name << " | " << std::fixed << std::setprecision(0)
         << static_cast<double>(result.answered) / result.seconds << " | "
         << static_cast<double>(result.tokens) / result.seconds << " | " << std::setprecision(3)
         << quantiles.p50 * 1e3 << " | " << quantiles.p95 * 1e3 << " | " << quantiles.p99 * 1e3
         << " | " << result.failed << " |\n";
}

} // namespace

std::string measureEntryVmOverhead(const Deployment &deployment, double seconds)
{
    std::ostringstream page;
    page << "| what | requests/s | tokens/s | p50 ms | p95 ms | p99 ms | failed |\n"
         << "|---|---|---|---|---|---|---|\n";
    std::vector<AdapterLocation> locations;
    for (int index = 0; index < deployment.adapters; ++index)
        locations.push_back({adapterName(index) + "@1", {}});
    Phase phase;
    phase.seconds = seconds;
    runPhase(deployment, locations, phase); // warm-up: loads the adapters and opens connections
    locations = findResidentAdapters(deployment);
    const PhaseResult through = runPhase(deployment, locations, phase);
    writeRow(page, "through the entry VM, 48 connections", through);
    phase.direct = true;
    writeRow(page, "straight to the engines, 48 connections",
             runPhase(deployment, locations, phase));
    const double maxRate = static_cast<double>(through.answered) / through.seconds;
    phase.requestsPerSecond = 0.6 * maxRate;
    writeRow(page, "straight, at 60 % of the first row", runPhase(deployment, locations, phase));
    phase.direct = false;
    writeRow(page, "through, at 60 %", runPhase(deployment, locations, phase));
    phase.requestsPerSecond = 0;
    phase.streamed = true;
    phase.tokens = 200;
    writeRow(page, "streams of 200 tokens through, 48 connections",
             runPhase(deployment, locations, phase));
    phase.direct = true;
    writeRow(page, "streams straight, 48 connections", runPhase(deployment, locations, phase));
    return page.str();
}

} // namespace monsoonbay::loadgen
