#include "Runner.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr int loadsPerRunner = 4;
constexpr long long eventPauseMs = 15;

} // namespace

void RunLog::add(const std::string &runner, const std::string &attempt)
{
    const std::lock_guard guard(this->mutex);
    ++this->runs[attempt];
    this->log.line("run " + attempt + " at " + runner);
}

int RunLog::runsOf(const std::string &attempt)
{
    const std::lock_guard guard(this->mutex);
    const auto found = this->runs.find(attempt);
    return found == this->runs.end() ? 0 : found->second;
}

std::map<std::string, int> RunLog::all()
{
    const std::lock_guard guard(this->mutex);
    return this->runs;
}

Runner::Runner(std::string id, RunnerSettings settings, Store &store, LoadCount &loads,
               RunLog &runs, Log &log)
    : id(std::move(id))
    , settings(std::move(settings))
    , store(store)
    , loads(loads)
    , runs(runs)
    , log(log)
    , freeSlots(this->settings.slots)
{
    this->server = std::make_unique<Server>(this->settings.address,
                                            [this](Connection &connection, const Message &request) {
                                                return this->handle(connection, request);
                                            });
    this->report = this->description();
    this->beats = std::thread([this] { this->heartbeat(); });
}

Runner::~Runner()
{
    this->stopping = true;
    this->beats.join();
    this->server.reset();
}

std::vector<Order> Runner::orders()
{
    const std::lock_guard guard(this->mutex);
    return this->orderLog;
}

std::string Runner::description()
{
    const std::lock_guard guard(this->mutex);
    this->finishLoads();
    Json json{{"Service", this->settings.service},
              {"Address", this->settings.address + ":" + std::to_string(this->server->port())},
              {"Zone", this->settings.zone},
              {"Version", "v1"},
              {"Slots", this->settings.slots},
              {"State", "in_service"},
              {"ColdLeftMs", 0},
              {"Sequence", this->sequence}};
    if (!this->settings.model.empty()) {
        Json held = Json::array();
        Json incoming = Json::array();
        for (const auto &[name, adapter] : this->adapters) {
            const std::string text = name + "@" + std::to_string(adapter.version);
            if (adapter.loaded)
                held.push_back(text);
            else
                incoming.push_back(this->settings.model + "/" + text);
        }
        json["Stage"] = "combined";
        json["Models"] =
            Json::array({{{"Name", this->settings.model}, {"Version", 1}, {"Adapters", held}}});
        json["Incoming"] = incoming;
    }
    return json.dump();
}

void Runner::heartbeat()
{
    long long nextBeat = 0;
    while (!this->stopping) {
        const std::string now = this->description();
        if (nowMs() >= nextBeat) {
            this->store.put("keyed.servers", this->id, now);
            nextBeat = nowMs() + this->settings.heartbeatMs;
        }
        {
            const std::lock_guard guard(this->mutex);
            this->report = now;
        }
        sleepMs(this->settings.reportLagMs);
    }
}

void Runner::finishLoads()
{
    for (auto &[name, adapter] : this->adapters) {
        if (adapter.loaded || nowMs() < adapter.readyAt)
            continue;
        adapter.loaded = true;
        --this->loads;
    }
}

int Runner::carryOut(const std::string &body)
{
    const Json order = Json::parse(body);
    const std::lock_guard guard(this->mutex);
    this->finishLoads();
    Order entry;
    entry.at = nowMs();
    entry.holder = order.value("Holder", "");
    entry.token = order.value("FencingToken", 0LL);
    const bool load = order.value("Operation", "") == "model_load";
    const std::string name = order.value("Adapter", "");
    const auto held = this->adapters.find(name);
    const auto onTheWay = std::count_if(this->adapters.begin(), this->adapters.end(),
                                        [](const auto &item) { return !item.second.loaded; });
    if (entry.holder.empty() || order.value("Model", "") != this->settings.model) {
        entry.status = 400;
    } else if (name.empty()) {
        entry.status = load ? 200 : 400; // the model is there; nobody unloads it here
    } else if (order.contains("Expected") && order["Expected"] != this->sequence) {
        entry.status = 409;
    } else if (load && held != this->adapters.end()) {
        entry.status = 200;
    } else if (load && onTheWay >= loadsPerRunner) {
        entry.status = 409;
    } else if (load && static_cast<int>(this->adapters.size()) >= this->settings.adapterSlots) {
        this->log.line("LIMIT: more adapters than slots at " + this->id);
        entry.status = 409;
    } else if (load) {
        const int over = ++this->loads;
        const long long share = std::max(over, this->settings.loadsAtFullSpeed);
        Adapter &adapter = this->adapters[name];
        adapter.version = order.value("Version", 1LL);
        adapter.readyAt = nowMs() + this->settings.loadMs * share / this->settings.loadsAtFullSpeed;
        ++this->sequence;
        entry.status = 202;
    } else if (held != this->adapters.end() && held->second.runs == 0 && held->second.loaded) {
        this->adapters.erase(held);
        ++this->sequence;
        entry.status = 200;
    } else {
        entry.status = held == this->adapters.end() ? 200 : 409;
    }
    this->orderLog.push_back(entry);
    this->log.line("order " + order.value("Operation", "") + " " + name + " at " + this->id + " by "
                   + entry.holder + " token " + std::to_string(entry.token) + " -> "
                   + std::to_string(entry.status));
    return entry.status;
}

bool Runner::handle(Connection &connection, const Message &request)
{
    const std::string path = request.word(1);
    const std::string named = request.header("X-Target-Instance");
    if (!named.empty() && named != this->id)
        return connection.write(
            answerText(421, "Misdirected Request", {{"X-Instance-Id", this->id}}, ""));
    if (path == "/report") {
        std::string body;
        {
            const std::lock_guard guard(this->mutex);
            body = this->report;
        }
        return connection.write(
            answerText(200, "OK", {{"Content-Type", "application/json"}}, body));
    }
    if (path == "/order")
        return connection.write(answerText(this->carryOut(request.body), "Order", {}, ""));
    if (path == "/health")
        return connection.write(answerText(200, "OK", {{"X-Instance-Id", this->id}}, ""));
    return this->answerRequest(connection, request);
}

bool Runner::answer(Connection &connection, const std::string &text)
{
    ++this->answers;
    return connection.write(text);
}

bool Runner::answerRequest(Connection &connection, const Message &request)
{
    const std::string attempt = request.header("X-Attempt-Id");
    // A stray answer comes where the next one is expected.
    if (!connection.pendingExtra.empty()) {
        this->log.line("stray second answer (" + connection.pendingExtra.substr(9, 3)
                       + ") written at " + this->id + " ahead of the answer to " + attempt);
        if (!connection.write(std::exchange(connection.pendingExtra, std::string())))
            return false;
    }
    const std::string model = request.header("X-Model");
    const std::size_t slash = model.find('/');
    const std::string adapter = slash == std::string::npos ? "" : model.substr(slash + 1);
    bool present = true;
    long long loadedInMs = 0;
    if (!adapter.empty()) {
        const std::lock_guard guard(this->mutex);
        this->finishLoads();
        const auto held = this->adapters.find(adapter);
        present = held != this->adapters.end() && held->second.loaded;
        if (present)
            ++held->second.runs;
        else if (held != this->adapters.end())
            loadedInMs = std::max(held->second.readyAt - nowMs(), 1LL);
    }
    if (!present)
        return this->refuse(connection, attempt, "no " + adapter,
                            answerText(421, "Misdirected Request",
                                       {{"X-Attempt-Id", attempt}, {"X-Instance-Id", this->id}},
                                       ""),
                            loadedInMs);
    if (this->settings.model.empty())
        return this->answerPlain(connection, attempt);
    this->runs.add(this->id, attempt);
    const bool open = this->stream(connection, request);
    if (!adapter.empty()) {
        const std::lock_guard guard(this->mutex);
        --this->adapters[adapter].runs;
    }
    return open;
}

bool Runner::refuse(Connection &connection, const std::string &attempt, const std::string &why,
                    const std::string &refusal, long long loadedInMs)
{
    this->log.line("refused " + attempt + " at " + this->id + " with " + refusal.substr(9, 3) + ": "
                   + why);
    if (this->spoil && this->spoil(*this, loadedInMs)) {
        ++this->spoiled;
        connection.pendingExtra = refusal;
    }
    return this->answer(connection, refusal);
}

bool Runner::answerPlain(Connection &connection, const std::string &attempt)
{
    if (++this->taken > this->settings.slots + this->settings.queue) {
        --this->taken;
        return this->refuse(connection, attempt, "full",
                            answerText(503, "Service Unavailable", {{"X-Not-Executed", "1"}}, ""));
    }
    this->freeSlots.acquire();
    this->runs.add(this->id, attempt);
    sleepMs(this->settings.workMs);
    this->freeSlots.release();
    --this->taken;
    return this->answer(
        connection,
        answerText(200, "OK", {{"X-Attempt-Id", attempt}, {"X-Server-Seal", "seal-" + this->id}},
                   "answer to " + attempt));
}

bool Runner::stream(Connection &connection, const Message &request)
{
    const std::string attempt = request.header("X-Attempt-Id");
    const std::string tokens = request.header("X-Token-Count");
    const std::size_t comma = tokens.find(',');
    const int events = std::stoi(tokens.substr(comma + 1));
    ++this->answers;
    bool open = connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt
                                 + "\r\nX-Server-Seal: seal-" + this->id
                                 + "\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; open && event <= events; ++event) {
        sleepMs(eventPauseMs);
        if (connection.isClosed())
            return false;
        const std::string text =
            "id: " + std::to_string(event) + "\ndata: piece " + std::to_string(event) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        open = connection.write(size + text + "\r\n");
    }
    return open && connection.write("0\r\n\r\n");
}

} // namespace review
