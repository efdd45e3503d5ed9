#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "daemon/Daemon.h"
#include "standins/Standins.h"
#include "transport/HttpClient.h"

namespace monsoonbay::e2e {

using Json = nlohmann::json;

/** One entry VM of a test. */
struct VmSpec
{
    std::string name;
    std::string zone;
};

/** Size and settings of a test cluster; the defaults are small and fast. */
struct TestClusterSpec
{
    std::vector<VmSpec> vms{{"vm-1", "zone-a"}};
    int engines = 1;
    int plainServices = 1;
    int slots = 2;
    int adapters = 6;
    double stepMs = 2; ///< time per decoding step of an engine
    double loadsPerSecond = 20; ///< adapter loads that the weight store allows
    bool checksTokens = true; ///< engines check fencing tokens
    int keyMemorySeconds = 1; ///< how long idempotency keys are remembered
    int shutdownSeconds = 20;
};

/** A request that a caller sends. */
struct TestRequest
{
    std::string path = "/v1/completions";
    std::string method = "POST";
    std::string adapter = "a0@1";
    int tokens = 5;
    bool stream = false;
    std::string body; ///< sent instead of a completion request, if not empty
    std::vector<HttpHeader> headers;
    std::string token = "secret";
};

/** Daemons and stand-ins of one test, in this process; the destructor stops them. */
class TestCluster
{
public:
    explicit TestCluster(TestClusterSpec spec);
    ~TestCluster();

    TestCluster(const TestCluster &) = delete;
    TestCluster &operator=(const TestCluster &) = delete;

    /** Waits until every VM is ready and every engine is owned and usable. */
    bool waitUntilReady();

    HttpResult sendRequest(const TestRequest &request, std::size_t vm = 0);

    /** Sends a request on its own thread; pass the returned number to awaitResult(). */
    std::size_t startRequest(const TestRequest &request, std::size_t vm = 0);
    HttpResult awaitResult(std::size_t number);

    /** Disconnects after the first piece of a streamed answer; false if none arrived. */
    bool disconnectMidStream(const TestRequest &request, std::size_t vm);

    /** Sends bytes to the callers' port, closes the sending side, and waits for an answer or a
     * close. */
    void sendBytes(const std::string &bytes, std::size_t vm);

    Json status(std::size_t vm = 0);
    Json engineStatus(std::size_t engine = 0);
    /** True if the engine reports `requests` in total, of which `running` are running; its report
     * lags. */
    bool reportsRequests(int requests, int running = 1);
    Json plainStatus(std::size_t service = 0);
    void injectFault(const Endpoint &standin, const std::string &kind, int times, int ms = 0);
    /** Publishes a manifest change based on the manifest of the first VM that answers; returns its
     * offset in the log, or 0. */
    std::uint64_t publish(const std::string &kind, const std::string &content,
                          const std::vector<std::string> &acknowledge = {});
    /** Appends an encoded publication to the log; returns its offset, or 0. */
    std::uint64_t appendPublication(const std::string &body);
    /** Replaces the VM list; a VM or target that is not in `states` is live. */
    void setVmList(const std::map<std::string, std::string> &states);
    /** Ends a VM at once, as a crash would. */
    void killVm(std::size_t vm);
    void startVm(std::size_t vm);
    /** Requests a graceful shutdown; a second request aborts what is in flight. */
    void shutDownVm(std::size_t vm);

    HttpResult get(const Endpoint &endpoint, const std::string &path);
    HttpResult call(const Endpoint &endpoint, const HttpCall &call);
    Endpoint operatorsEndpoint(std::size_t vm) const;

    /** Polls until the condition holds; false if it does not within 30 s. */
    static bool eventually(const std::function<bool()> &condition);

    std::string manifest() const;

    TestClusterSpec spec;
    standins::StandinHost host;
    Endpoint store;
    Endpoint log;
    Endpoint vmList;
    Endpoint collector;
    std::vector<Endpoint> engines;
    std::vector<Endpoint> plainServiceEndpoints;
    std::vector<std::unique_ptr<Daemon>> daemons;

private:
    struct PendingRequest;
    std::vector<std::shared_ptr<PendingRequest>> pendingRequests;
};

/** Text that the stand-in of an engine answers for an adapter. */
std::string expectedText(const std::string &adapter, int tokens);

/** Text of a buffered or streamed answer, and whether it is complete. */
struct ReceivedAnswer
{
    std::string text;
    bool complete = false;
};
ReceivedAnswer receivedAnswer(const HttpResult &result);

/** Problem type of a refusal without its prefix "urn:monsoonbay:". */
std::string problemType(const HttpResult &result);
/** True if a refusal says that the request has not run. */
bool isMarkedNotRun(const HttpResult &result);

} // namespace monsoonbay::e2e
