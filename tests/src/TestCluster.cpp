#include "TestCluster.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "config/Acceptance.h"
#include "core/Digest.h"

namespace monsoonbay::e2e {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(20);
constexpr auto timeLimit = std::chrono::seconds(30);

HttpResult callWithTimeLimit(const Endpoint &endpoint, const HttpCall &call)
{
    return callBlocking(endpoint, call, timeLimit);
}

HttpCall toHttpCall(const TestRequest &request)
{
    HttpCall call;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    if (request.body.empty() && request.path.starts_with("/v1/"))
        call.body = Json{{"model", request.adapter},
                         {"max_tokens", request.tokens},
                         {"stream", request.stream}}
                        .dump();
    call.headers = request.headers;
    call.headers.push_back({"Authorization", "Bearer " + request.token});
    return call;
}

} // namespace

struct TestCluster::PendingRequest
{
    HttpResult result;
    std::thread thread;
};

TestCluster::TestCluster(TestClusterSpec requested)
    : spec(std::move(requested))
{
    this->store = this->host.store({.listen = {}, .loadsPerSecond = this->spec.loadsPerSecond});
    this->log = this->host.log({});
    this->vmList = this->host.vmList({});
    this->collector = this->host.collector();
    for (int index = 0; index < this->spec.engines; ++index) {
        standins::EngineOptions options;
        options.name = "engine-" + std::to_string(index);
        options.store = this->store;
        options.slots = this->spec.slots;
        options.stepMs = this->spec.stepMs;
        options.checksTokens = this->spec.checksTokens;
        this->engines.push_back(this->host.engine(options));
    }
    for (int index = 0; index < this->spec.plainServices; ++index)
        this->plainServiceEndpoints.push_back(
            this->host.plainService({"plain-" + std::to_string(index), {}, 1}));
    this->daemons.resize(this->spec.vms.size());
    for (std::size_t index = 0; index < this->spec.vms.size(); ++index)
        this->startVm(index);
    this->setVmList({});
    this->publish("manifest", this->manifest());
}

TestCluster::~TestCluster()
{
    for (const auto &request : this->pendingRequests) {
        if (request->thread.joinable())
            request->thread.join();
    }
}

std::string TestCluster::manifest() const
{
    Json adapters = Json::array();
    for (int index = 0; index < this->spec.adapters; ++index)
        adapters.push_back(
            {{"name", "a" + std::to_string(index)}, {"version", "1"}, {"baseModel", "base"}});
    Json targets = Json::array();
    for (std::size_t index = 0; index < this->engines.size(); ++index)
        targets.push_back({{"name", "engine-" + std::to_string(index)},
                           {"baseModel", "base"},
                           {"slots", this->spec.slots},
                           {"checksTokens", this->spec.checksTokens}});
    for (std::size_t index = 0; index < this->plainServiceEndpoints.size(); ++index)
        targets.push_back({{"name", "plain-" + std::to_string(index)}, {"plainService", "tiles"}});
    const Json service{{"name", "viewer"},
                       {"tokenSha256", sha256Hex("secret")},
                       {"adapters", {"a*"}},
                       {"plainServices", {"tiles"}},
                       {"share", 1.0}};
    const Json plain{
        {"name", "tiles"}, {"path", "/tiles"}, {"nonIdempotent", {"POST /tiles/book*"}}};
    return Json{{"format", 1},
                {"baseModels", {"base"}},
                {"adapters", adapters},
                {"services", Json::array({service})},
                {"plainServices", Json::array({plain})},
                {"targets", targets},
                {"loadsPerSecond", this->spec.loadsPerSecond}}
        .dump();
}

void TestCluster::startVm(std::size_t vm)
{
    Settings settings;
    settings.vm = this->spec.vms[vm].name;
    settings.zone = this->spec.vms[vm].zone;
    settings.callers = {"127.0.0.1", 0};
    settings.peers = {"127.0.0.1", 0};
    settings.operators = {"127.0.0.1", 0};
    settings.log = this->log;
    settings.vmList = this->vmList;
    settings.traces = this->collector;
    settings.keyMemorySeconds = this->spec.keyMemorySeconds;
    settings.shutdownSeconds = this->spec.shutdownSeconds;
    this->daemons[vm] = std::make_unique<Daemon>(settings);
}

void TestCluster::setVmList(const std::map<std::string, std::string> &states)
{
    Json vms = Json::array();
    const auto add = [&](const std::string &name, const std::string &kind, const std::string &zone,
                         std::uint16_t port) {
        const auto state = states.find(name);
        vms.push_back({{"name", name},
                       {"kind", kind},
                       {"zone", zone},
                       {"address", "127.0.0.1"},
                       {"port", port},
                       {"state", state == states.end() ? "live" : state->second}});
    };
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (this->daemons[index])
            add(this->spec.vms[index].name, "entry", this->spec.vms[index].zone,
                this->daemons[index]->ports().peers);
    }
    for (std::size_t index = 0; index < this->engines.size(); ++index)
        add("engine-" + std::to_string(index), "model",
            this->spec.vms[index % this->spec.vms.size()].zone, this->engines[index].port);
    for (std::size_t index = 0; index < this->plainServiceEndpoints.size(); ++index)
        add("plain-" + std::to_string(index), "app", this->spec.vms[0].zone,
            this->plainServiceEndpoints[index].port);
    HttpCall put;
    put.method = "PUT";
    put.path = "/v1/vms";
    put.body = vms.dump();
    callWithTimeLimit(this->vmList, put);
}

bool TestCluster::waitUntilReady()
{
    return eventually([this] {
        for (std::size_t index = 0; index < this->daemons.size(); ++index) {
            if (!this->daemons[index])
                continue;
            const Json status = this->status(index);
            if (!status.is_object() || !status.value("ready", false))
                return false;
            std::size_t usable = 0;
            for (const Json &target : status["targets"])
                usable += target.value("usable", false) ? 1 : 0;
            if (usable != this->engines.size())
                return false;
        }
        return true;
    });
}

Endpoint TestCluster::operatorsEndpoint(std::size_t vm) const
{
    return {"127.0.0.1", this->daemons[vm]->ports().operators};
}

HttpResult TestCluster::call(const Endpoint &endpoint, const HttpCall &call)
{
    return callWithTimeLimit(endpoint, call);
}

HttpResult TestCluster::get(const Endpoint &endpoint, const std::string &path)
{
    HttpCall call;
    call.path = path;
    return callWithTimeLimit(endpoint, call);
}

HttpResult TestCluster::sendRequest(const TestRequest &request, std::size_t vm)
{
    return callWithTimeLimit({"127.0.0.1", this->daemons[vm]->ports().callers},
                             toHttpCall(request));
}

std::size_t TestCluster::startRequest(const TestRequest &request, std::size_t vm)
{
    auto pending = std::make_shared<PendingRequest>();
    const Endpoint endpoint{"127.0.0.1", this->daemons[vm]->ports().callers};
    pending->thread = std::thread([pending, endpoint, call = toHttpCall(request)] {
        pending->result = callWithTimeLimit(endpoint, call);
    });
    this->pendingRequests.push_back(pending);
    return this->pendingRequests.size() - 1;
}

HttpResult TestCluster::awaitResult(std::size_t number)
{
    this->pendingRequests[number]->thread.join();
    return this->pendingRequests[number]->result;
}

bool TestCluster::disconnectMidStream(const TestRequest &request, std::size_t vm)
{
    asio::io_context context(1);
    HttpClient client(context);
    bool answerStarted = false;
    const Endpoint endpoint{"127.0.0.1", this->daemons[vm]->ports().callers};
    const auto work = [&]() -> asio::awaitable<void> {
        HttpClientStream stream(client, endpoint);
        HttpCall call = toHttpCall(request);
        const HttpResult head = co_await stream.begin(std::move(call), timeLimit);
        std::string piece;
        co_await stream.read(piece);
        answerStarted = head.status == 200 && !piece.empty();
        stream.cancel();
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return answerStarted;
}

void TestCluster::sendBytes(const std::string &bytes, std::size_t vm)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), this->daemons[vm]->ports().callers});
    asio::write(socket, asio::buffer(bytes));
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string answer(1024, '\0');
    boost::system::error_code ignored;
    socket.read_some(asio::buffer(answer), ignored);
}

Json TestCluster::status(std::size_t vm)
{
    const HttpResult result = this->get(this->operatorsEndpoint(vm), "/v1/status");
    return result.ok() ? Json::parse(result.body, nullptr, false) : Json();
}

Json TestCluster::engineStatus(std::size_t engine)
{
    const HttpResult result = this->get(this->engines[engine], "/v1/status");
    return result.ok() ? Json::parse(result.body, nullptr, false) : Json();
}

bool TestCluster::reportsRequests(int requests, int running)
{
    const Json status = this->engineStatus();
    return status.value("requests", 0) == requests && status.value("running", 0) == running;
}

Json TestCluster::plainStatus(std::size_t service)
{
    return Json::parse(this->get(this->plainServiceEndpoints[service], "/v1/status").body, nullptr,
                       false);
}

void TestCluster::injectFault(const Endpoint &standin, const std::string &kind, int times, int ms)
{
    HttpCall call;
    call.method = "POST";
    call.path = "/control";
    call.body = Json{{"fault", kind}, {"times", times}, {"ms", ms}}.dump();
    callWithTimeLimit(standin, call);
}

std::uint64_t TestCluster::appendPublication(const std::string &body)
{
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/append";
    call.body = Json{{"stream", "manifest"}, {"body", body}}.dump();
    const HttpResult result = callWithTimeLimit(this->log, call);
    const Json reply = Json::parse(result.body, nullptr, false);
    return reply.is_object() ? reply.value("offset", std::uint64_t{0}) : 0;
}

std::uint64_t TestCluster::publish(const std::string &kind, const std::string &content,
                                   const std::vector<std::string> &acknowledge)
{
    ManifestMark base;
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (!this->daemons[index])
            continue;
        const Json status = this->status(index);
        if (!status.is_object())
            continue;
        base = {status["manifest"].value("offset", std::uint64_t{0}),
                status["manifest"].value("digest", "")};
        break;
    }
    return this->appendPublication(writePublication(kind, base, acknowledge, content));
}

void TestCluster::killVm(std::size_t vm)
{
    this->daemons[vm]->kill();
    this->daemons[vm].reset();
}

void TestCluster::shutDownVm(std::size_t vm)
{
    this->daemons[vm]->requestShutdown();
}

bool TestCluster::eventually(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + timeLimit;
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

std::string expectedText(const std::string &adapter, int tokens)
{
    std::string text;
    for (int index = 0; index < tokens; ++index)
        text += adapter + ":" + std::to_string(index) + " ";
    return text;
}

ReceivedAnswer receivedAnswer(const HttpResult &result)
{
    ReceivedAnswer answer;
    if (!result.contentType.starts_with("text/event-stream")) {
        const Json json = Json::parse(result.body, nullptr, false);
        if (json.is_object() && json.contains("choices"))
            answer.text = json["choices"][0].value("text", "");
        answer.complete = !result.error && !answer.text.empty();
        return answer;
    }
    std::size_t begin = 0;
    for (std::size_t end = result.body.find("\n\n"); end != std::string::npos;
         end = result.body.find("\n\n", begin)) {
        const std::string event = result.body.substr(begin, end - begin);
        begin = end + 2;
        if (event == "data: [DONE]")
            answer.complete = !result.error;
        else if (event.starts_with("data: "))
            answer.text += Json::parse(event.substr(6))["choices"][0].value("text", "");
    }
    return answer;
}

std::string problemType(const HttpResult &result)
{
    const Json json = Json::parse(result.body, nullptr, false);
    const std::string type = json.is_object() ? json.value("type", "") : "";
    constexpr std::string_view prefix = "urn:monsoonbay:";
    return type.starts_with(prefix) ? type.substr(prefix.size()) : type;
}

bool isMarkedNotRun(const HttpResult &result)
{
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() && json.value("notRun", false);
}

} // namespace monsoonbay::e2e
