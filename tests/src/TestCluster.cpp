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

constexpr auto pollEvery = std::chrono::milliseconds(20);
constexpr auto patience = std::chrono::seconds(30);

HttpResult callNow(const Endpoint &endpoint, const HttpCall &call)
{
    return callBlocking(endpoint, call, patience);
}

HttpCall callOf(const Ask &ask)
{
    HttpCall call;
    call.method = ask.method;
    call.path = ask.path;
    call.body = ask.body;
    if (ask.body.empty() && ask.path.starts_with("/v1/"))
        call.body =
            Json{{"model", ask.adapter}, {"max_tokens", ask.tokens}, {"stream", ask.stream}}.dump();
    call.headers = ask.headers;
    call.headers.push_back({"Authorization", "Bearer " + ask.token});
    return call;
}

} // namespace

struct World::Pending
{
    HttpResult result;
    std::thread thread;
};

World::World(WorldSpec wanted)
    : spec(std::move(wanted))
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
        this->plains.push_back(this->host.plainService({"plain-" + std::to_string(index), {}, 1}));
    this->daemons.resize(this->spec.vms.size());
    for (std::size_t index = 0; index < this->spec.vms.size(); ++index)
        this->start(index);
    this->setVmList({});
    this->publish("manifest", this->manifest());
}

World::~World()
{
    for (const auto &request : this->pending) {
        if (request->thread.joinable())
            request->thread.join();
    }
}

std::string World::manifest() const
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
    for (std::size_t index = 0; index < this->plains.size(); ++index)
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

void World::start(std::size_t vm)
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

void World::setVmList(const std::map<std::string, std::string> &states)
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
    for (std::size_t index = 0; index < this->plains.size(); ++index)
        add("plain-" + std::to_string(index), "app", this->spec.vms[0].zone,
            this->plains[index].port);
    HttpCall put;
    put.method = "PUT";
    put.path = "/v1/vms";
    put.body = vms.dump();
    callNow(this->vmList, put);
}

bool World::up()
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

Endpoint World::operators(std::size_t vm) const
{
    return {"127.0.0.1", this->daemons[vm]->ports().operators};
}

HttpResult World::call(const Endpoint &endpoint, const HttpCall &call)
{
    return callNow(endpoint, call);
}

HttpResult World::get(const Endpoint &endpoint, const std::string &path)
{
    HttpCall call;
    call.path = path;
    return callNow(endpoint, call);
}

HttpResult World::ask(const Ask &ask, std::size_t vm)
{
    return callNow({"127.0.0.1", this->daemons[vm]->ports().callers}, callOf(ask));
}

std::size_t World::begin(const Ask &ask, std::size_t vm)
{
    auto request = std::make_shared<Pending>();
    const Endpoint endpoint{"127.0.0.1", this->daemons[vm]->ports().callers};
    request->thread = std::thread(
        [request, endpoint, call = callOf(ask)] { request->result = callNow(endpoint, call); });
    this->pending.push_back(request);
    return this->pending.size() - 1;
}

HttpResult World::join(std::size_t number)
{
    this->pending[number]->thread.join();
    return this->pending[number]->result;
}

bool World::leaveEarly(const Ask &ask, std::size_t vm)
{
    asio::io_context context(1);
    HttpClient client(context);
    bool begun = false;
    const Endpoint endpoint{"127.0.0.1", this->daemons[vm]->ports().callers};
    const auto work = [&]() -> asio::awaitable<void> {
        HttpClientStream stream(client, endpoint);
        HttpCall call = callOf(ask);
        const HttpResult head = co_await stream.begin(std::move(call), patience);
        std::string piece;
        co_await stream.read(piece);
        begun = head.status == 200 && !piece.empty();
        stream.cancel();
    };
    asio::co_spawn(context, work(), asio::detached);
    context.run();
    return begun;
}

void World::sendBytes(const std::string &bytes, std::size_t vm)
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

Json World::status(std::size_t vm)
{
    const HttpResult result = this->get(this->operators(vm), "/v1/status");
    return result.ok() ? Json::parse(result.body, nullptr, false) : Json();
}

Json World::engineStatus(std::size_t engine)
{
    const HttpResult result = this->get(this->engines[engine], "/v1/status");
    return result.ok() ? Json::parse(result.body, nullptr, false) : Json();
}

bool World::runsNow(int requests, int running)
{
    const Json status = this->engineStatus();
    return status.value("requests", 0) == requests && status.value("running", 0) == running;
}

Json World::plainStatus(std::size_t service)
{
    return Json::parse(this->get(this->plains[service], "/v1/status").body, nullptr, false);
}

void World::fault(const Endpoint &standin, const std::string &kind, int times, int ms)
{
    HttpCall call;
    call.method = "POST";
    call.path = "/control";
    call.body = Json{{"fault", kind}, {"times", times}, {"ms", ms}}.dump();
    callNow(standin, call);
}

std::uint64_t World::publishRaw(const std::string &body)
{
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/append";
    call.body = Json{{"stream", "manifest"}, {"body", body}}.dump();
    const HttpResult result = callNow(this->log, call);
    const Json reply = Json::parse(result.body, nullptr, false);
    return reply.is_object() ? reply.value("offset", std::uint64_t{0}) : 0;
}

std::uint64_t World::publish(const std::string &kind, const std::string &content,
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
    return this->publishRaw(writePublication(kind, base, acknowledge, content));
}

void World::kill(std::size_t vm)
{
    this->daemons[vm]->kill();
    this->daemons[vm].reset();
}

void World::shutdown(std::size_t vm)
{
    this->daemons[vm]->requestShutdown();
}

bool World::eventually(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < until) {
        if (condition())
            return true;
        std::this_thread::sleep_for(pollEvery);
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

AnswerText textOf(const HttpResult &result)
{
    AnswerText answer;
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

std::string problemOf(const HttpResult &result)
{
    const Json json = Json::parse(result.body, nullptr, false);
    const std::string type = json.is_object() ? json.value("type", "") : "";
    constexpr std::string_view prefix = "urn:monsoonbay:";
    return type.starts_with(prefix) ? type.substr(prefix.size()) : type;
}

bool saysNotRun(const HttpResult &result)
{
    const Json json = Json::parse(result.body, nullptr, false);
    return json.is_object() && json.value("notRun", false);
}

} // namespace monsoonbay::e2e
