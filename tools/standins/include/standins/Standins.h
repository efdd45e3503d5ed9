#pragma once

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "config/Settings.h"
#include "transport/HttpServer.h"

namespace monsoonbay::standins {

/**
 * A stand-in for a model engine: continuous batching, adapter slots and fenced commands, but the
 * text of an answer is computed from the adapter and the position of each token.
 */
struct EngineOptions
{
    std::string name;
    Endpoint listen;
    Endpoint store;
    int slots = 8; ///< adapters that can be resident
    int maxBatch = 16; ///< sequences in one step
    double stepMs = 20; ///< fixed part of a step
    double stepMsPerSequence = 0.5; ///< added to a step for each sequence in the batch
    int reportLagMs = 500; ///< interval at which the status report is refreshed
    bool checksTokens = true; ///< rejects commands with an old fencing token
};

/** A stand-in for a service without a model, which echoes its requests. */
struct PlainServiceOptions
{
    std::string name;
    Endpoint listen;
    int serviceMs = 5; ///< time that a request takes
};

/** A stand-in for the weight store. Concurrent loads share the rate of `loadsPerSecond`. */
struct StoreOptions
{
    Endpoint listen;
    double loadsPerSecond = 2;
};

/** A stand-in for the log of the platform, which keeps the newest `retainedRecords`. */
struct LogOptions
{
    Endpoint listen;
    std::size_t retainedRecords = 1000000;
};

/** A stand-in for the VM list of the platform; a change becomes visible after `lagMs`. */
struct VmListOptions
{
    Endpoint listen;
    std::string vms = "[]"; ///< JSON array of VMs
    int lagMs = 0;
};

/** A stand-in for a collector of traces, which keeps all spans that it receives. */
struct CollectorOptions
{
    Endpoint listen;
};

/** A server that stands in for a part of the platform or a target; it stops when destroyed. */
class Standin
{
public:
    virtual ~Standin() = default;
    /** The port in use; differs from the options if they ask for port 0. */
    virtual std::uint16_t port() const = 0;
};

std::unique_ptr<Standin> startEngine(asio::io_context &context, const EngineOptions &options);
std::unique_ptr<Standin> startPlainService(asio::io_context &context,
                                           const PlainServiceOptions &options);
std::unique_ptr<Standin> startStore(asio::io_context &context, const StoreOptions &options);
std::unique_ptr<Standin> startLog(asio::io_context &context, const LogOptions &options);
std::unique_ptr<Standin> startVmList(asio::io_context &context, const VmListOptions &options);

std::unique_ptr<Standin> startCollector(asio::io_context &context, const CollectorOptions &options);

/**
 * Runs the stand-ins of a test on free ports of 127.0.0.1, all on one thread, so that they need no
 * locks.
 */
class StandinHost
{
public:
    StandinHost();
    ~StandinHost();

    StandinHost(const StandinHost &) = delete;
    StandinHost &operator=(const StandinHost &) = delete;

    Endpoint engine(EngineOptions options);
    Endpoint plainService(PlainServiceOptions options);
    Endpoint store(StoreOptions options);
    Endpoint log(LogOptions options);
    Endpoint vmList(VmListOptions options);
    Endpoint collector();

private:
    Endpoint addStandin(std::unique_ptr<Standin> standin);

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::vector<std::unique_ptr<Standin>> standins;
    std::thread thread;
};

} // namespace monsoonbay::standins
