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

/** How a model engine behaves. Times in milliseconds. */
struct EngineOptions
{
    std::string name;
    Endpoint listen;
    Endpoint store;
    int slots = 8;
    int maxBatch = 16;
    double stepMs = 20;
    double stepMsPerSequence = 0.5;
    int reportLagMs = 500;
    bool checksTokens = true;
};

struct PlainServiceOptions
{
    std::string name;
    Endpoint listen;
    int serviceMs = 5;
};

/** The weight store gives `loadsPerSecond` at full speed to one load at a time. */
struct StoreOptions
{
    Endpoint listen;
    double loadsPerSecond = 2;
};

/** The log keeps the newest `retainedRecords`. */
struct LogOptions
{
    Endpoint listen;
    std::size_t retainedRecords = 1000000;
};

/** The VM list answers with a JSON array of VMs, `lagMs` after it was changed. */
struct VmListOptions
{
    Endpoint listen;
    std::string vms = "[]";
    int lagMs = 0;
};

/** A collector of traces keeps all spans it is sent. */
struct CollectorOptions
{
    Endpoint listen;
};

/** One stand-in listening on its endpoint; it ends when destroyed. */
class Standin
{
public:
    virtual ~Standin() = default;
    virtual std::uint16_t port() const = 0;
};

std::unique_ptr<Standin> startEngine(asio::io_context &context, const EngineOptions &options);
std::unique_ptr<Standin> startPlainService(asio::io_context &context,
                                           const PlainServiceOptions &options);
std::unique_ptr<Standin> startStore(asio::io_context &context, const StoreOptions &options);
std::unique_ptr<Standin> startLog(asio::io_context &context, const LogOptions &options);
std::unique_ptr<Standin> startVmList(asio::io_context &context, const VmListOptions &options);

std::unique_ptr<Standin> startCollector(asio::io_context &context, const CollectorOptions &options);

/** Runs stand-ins of a test on one thread of their own; they need no locks. */
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
