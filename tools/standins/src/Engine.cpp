#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Support.h"
#include "standins/Standins.h"
#include "transport/HttpClient.h"

namespace monsoonbay::standins {

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
// Finished requests that can still be read by their id.
constexpr std::size_t maxFinishedRequests = 20000;

/** A request and the progress of its generation. */
struct Sequence
{
    std::string id;
    std::string adapter;
    std::uint64_t epoch = 0; ///< of the engine when the request arrived
    int tokens = 0; ///< to generate
    int produced = 0;
    int priority = 5; ///< the lowest number is scheduled first
    bool cancelled = false;
    bool aborted = false; ///< its adapter was evicted or the engine restarted
    std::vector<std::shared_ptr<asio::steady_timer>> waiters; ///< of waitForProgress()

    bool ended() const
    {
        return this->cancelled || this->aborted || this->produced >= this->tokens;
    }
};

using SequencePtr = std::shared_ptr<Sequence>;

/** Counters of the status report. */
struct Counters
{
    std::uint64_t steps = 0;
    std::uint64_t sequenceSteps = 0; ///< sum of the batch sizes of all steps
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
    std::uint64_t evictionsInUse = 0; ///< evictions of an adapter with running requests
    std::uint64_t staleCommands = 0;
    std::uint64_t requests = 0;
    std::uint64_t executedTwice = 0; ///< requests whose id was received before
};

// The text depends on the adapter and the position, so that a check of the answer detects text of
// another adapter, a gap and a duplicate.
std::string tokenText(const Sequence &sequence, int index)
{
    return sequence.adapter + ":" + std::to_string(index) + " ";
}

HttpReply residentReply(const std::string &adapter)
{
    return jsonReply(200, {{"resident", adapter}});
}

HttpReply staleReply(std::uint64_t token)
{
    return jsonReply(409, {{"error", "stale-token"}, {"token", token}});
}

/** Serves completions, commands, status and reads of requests by their id. */
class Engine final : public Standin
{
public:
    Engine(asio::io_context &context, const EngineOptions &options)
        : context(context)
        , options(options)
        , client(context)
        , stepTimer(context)
        , server(context, options.listen,
                 [this](HttpExchange &exchange) { return this->handle(exchange); })
    {
        this->refreshReport();
        asio::co_spawn(context, this->reportLoop(), asio::detached);
    }

    std::uint16_t port() const override
    {
        return this->server.port();
    }

private:
    asio::awaitable<void> handle(HttpExchange &exchange)
    {
        const HttpRequest &request = exchange.request();
        const std::string target(request.target());
        const std::string path(pathOf(target));
        if (path == "/control") {
            co_await exchange.respond(this->control(request.body()));
            co_return;
        }
        if (this->faults.shouldInject("down")) {
            exchange.abort();
            co_return;
        }
        if (this->faults.shouldInject("delay"))
            co_await sleepMs(this->faults.parameter("delay"));
        if (path == "/v1/status") {
            const HttpReply reply = jsonReply(200, this->report);
            co_await exchange.respond(reply);
        } else if (path == "/v1/orders") {
            co_await this->handleCommand(exchange);
        } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
            co_await this->handleCompletion(exchange);
        } else if (path.starts_with("/v1/requests/")) {
            const std::string id = path.substr(std::string_view("/v1/requests/").size());
            co_await this->handleRequestById(exchange, id);
        } else {
            co_await exchange.respond(errorReply(404, "no such path"));
        }
    }

    HttpReply control(const std::string &body)
    {
        HttpReply reply = handleFaultRequest(this->faults, body);
        if (this->faults.shouldInject("restart"))
            this->restart();
        return reply;
    }

    /** Behaves as after a restart of the engine: no adapter and no request is left. */
    void restart()
    {
        ++this->epoch;
        this->resident.clear();
        for (auto &[id, sequence] : this->sequences) {
            sequence->aborted = true;
            this->notifyWaiters(*sequence);
        }
        this->sequences.clear();
        this->running.clear();
        this->queued.clear();
        this->finished.clear();
        this->refreshReport();
    }

    asio::awaitable<void> handleCommand(HttpExchange &exchange)
    {
        const Json command = Json::parse(exchange.request().body(), nullptr, false);
        if (!command.is_object()) {
            co_await exchange.respond(errorReply(400, "command is not a JSON object"));
            co_return;
        }
        const std::uint64_t token = command.value("token", std::uint64_t{0});
        const std::uint64_t local = command.value("local", std::uint64_t{0});
        const auto commandToken = std::make_pair(token, local);
        if (this->options.checksTokens && commandToken < this->highestToken) {
            ++this->counters.staleCommands;
            const HttpReply reply = staleReply(this->highestToken.first);
            co_await exchange.respond(reply);
            co_return;
        }
        this->highestToken = std::max(this->highestToken, commandToken);
        const std::string commandKind = command.value("order", "");
        if (commandKind == "claim") {
            const HttpReply reply = jsonReply(200, this->currentReport());
            co_await exchange.respond(reply);
        } else if (commandKind == "load") {
            const HttpReply reply =
                co_await this->load(command.value("adapter", ""), command.value("evict", ""));
            co_await exchange.respond(reply);
        } else {
            co_await exchange.respond(errorReply(400, "unknown kind of command"));
        }
    }

    asio::awaitable<HttpReply> load(std::string adapter, std::string evict)
    {
        const std::uint64_t loadEpoch = this->epoch;
        if (this->resident.contains(adapter))
            co_return residentReply(adapter);
        if (!evict.empty())
            this->evictAdapter(evict);
        if (this->resident.size() + this->loading >= static_cast<std::size_t>(this->options.slots))
            co_return errorReply(409, "no-free-slot");
        ++this->loading;
        HttpCall call;
        call.path = "/weights/" + adapter;
        const HttpResult weights =
            co_await this->client.call(this->options.store, call, std::chrono::minutes(10));
        --this->loading;
        const bool failed =
            !weights.ok() || loadEpoch != this->epoch || this->faults.shouldInject("loadFail");
        if (failed)
            co_return errorReply(502, "load-failed");
        this->resident[adapter] = 0;
        ++this->counters.loads;
        co_return residentReply(adapter);
    }

    void evictAdapter(const std::string &adapter)
    {
        const auto found = this->resident.find(adapter);
        if (found == this->resident.end())
            return;
        ++this->counters.evictions;
        if (found->second > 0)
            ++this->counters.evictionsInUse;
        for (auto &[id, sequence] : this->sequences) {
            if (sequence->adapter != adapter || sequence->ended())
                continue;
            sequence->aborted = true;
            this->notifyWaiters(*sequence);
        }
        this->resident.erase(found);
    }

    asio::awaitable<void> handleCompletion(HttpExchange &exchange)
    {
        const Json body = Json::parse(exchange.request().body(), nullptr, false);
        if (!body.is_object() || !body.contains("model")) {
            co_await exchange.respond(errorReply(400, "model is missing"));
            co_return;
        }
        const std::string adapter = body["model"];
        if (!this->resident.contains(adapter)) {
            co_await exchange.respond(errorReply(409, "not-resident"));
            co_return;
        }
        ++this->counters.requests;
        auto sequence = std::make_shared<Sequence>();
        sequence->id = body.value("request_id", "");
        sequence->adapter = adapter;
        sequence->epoch = this->epoch;
        sequence->tokens = std::clamp(body.value("max_tokens", 16), 1, 100000);
        sequence->priority = body.value("priority", 5);
        if (this->isKnownRequest(sequence->id))
            ++this->counters.executedTwice;
        this->sequences[sequence->id] = sequence;
        ++this->resident[adapter];
        this->queued.push_back(sequence);
        this->startSteps();
        const bool streamed = body.value("stream", false);
        if (streamed)
            co_await this->respondStreaming(exchange, sequence, 0);
        else
            co_await this->respondNonStreamed(exchange, sequence);
    }

    bool isKnownRequest(const std::string &id) const
    {
        return !id.empty() && this->sequences.contains(id);
    }

    /**
     * DELETE cancels the request. Otherwise sends its answer again: as a whole with whole=1, or as
     * a stream that begins with the token `from`.
     */
    asio::awaitable<void> handleRequestById(HttpExchange &exchange, std::string id)
    {
        const auto found = this->sequences.find(id);
        if (found == this->sequences.end()) {
            co_await exchange.respond(errorReply(404, "unknown-request"));
            co_return;
        }
        const SequencePtr sequence = found->second;
        if (exchange.request().method_string() == "DELETE") {
            sequence->cancelled = true;
            this->notifyWaiters(*sequence);
            const HttpReply reply = jsonReply(200, {{"cancelled", id}});
            co_await exchange.respond(reply);
            co_return;
        }
        const std::string target(exchange.request().target());
        const bool nonStreamed = queryNumber(target, "whole", 0) != 0;
        if (nonStreamed)
            co_await this->respondNonStreamed(exchange, sequence);
        else
            co_await this->respondStreaming(exchange, sequence,
                                            static_cast<int>(queryNumber(target, "from", 0)));
    }

    asio::awaitable<void> respondNonStreamed(HttpExchange &exchange, SequencePtr sequence)
    {
        while (!sequence->ended())
            co_await this->waitForProgress(sequence);
        const bool lost = this->faults.shouldInject("lostAnswer");
        if (lost || sequence->aborted || sequence->cancelled) {
            exchange.abort();
            co_return;
        }
        const bool wrong = this->faults.shouldInject("wrongAdapter");
        const bool otherRequest = this->faults.shouldInject("crossed");
        std::string text;
        for (int index = 0; index < sequence->tokens; ++index)
            text += tokenText(*sequence, index);
        const Json answer{
            {"id", otherRequest ? "somebody-else" : sequence->id},
            {"object", "text_completion"},
            {"model", wrong ? "neighbour@1" : sequence->adapter},
            {"choices", Json::array({{{"text", text}, {"finish_reason", "length"}}})}};
        const HttpReply reply = jsonReply(200, answer);
        co_await exchange.respond(reply);
    }

    asio::awaitable<void> respondStreaming(HttpExchange &exchange, SequencePtr sequence, int from)
    {
        std::error_code error =
            co_await exchange.beginStream(200, std::string("text/event-stream"));
        const bool wrong = this->faults.shouldInject("wrongAdapter");
        const bool shortened = this->faults.shouldInject("short");
        const bool lostAnswer = this->faults.shouldInject("lostAnswer");
        const bool duplicated = this->faults.shouldInject("duplicate");
        int sent = from;
        while (!error) {
            const bool truncated = (shortened || lostAnswer) && sent >= sequence->tokens / 2;
            if (truncated || sequence->aborted || sequence->cancelled)
                break;
            if (sent < sequence->produced) {
                const std::string event = this->eventText(*sequence, sent, wrong);
                const std::string data = duplicated ? event + event : event;
                error = co_await exchange.writeChunk(data);
                ++sent;
                continue;
            }
            if (sequence->produced >= sequence->tokens)
                break;
            co_await this->waitForProgress(sequence);
        }
        const bool complete = sent >= sequence->tokens;
        if (error || lostAnswer || (!complete && !shortened)) {
            exchange.abort();
            co_return;
        }
        if (!shortened) {
            const std::string done = "data: [DONE]\n\n";
            co_await exchange.writeChunk(done);
        }
        co_await exchange.endStream();
    }

    std::string eventText(const Sequence &sequence, int index, bool wrong) const
    {
        std::string event = "data: {\"id\":\"" + sequence.id + "\",\"model\":\"";
        event += wrong ? std::string("neighbour@1") : sequence.adapter;
        event += "\",\"index\":" + std::to_string(index) + ",\"choices\":[{\"text\":\"";
        event += tokenText(sequence, index);
        event +=
            index + 1 == sequence.tokens ? "\",\"finish_reason\":\"length\"}]}\n\n" : "\"}]}\n\n";
        return event;
    }

    /** Waits until the sequence has a new token, or ended. */
    asio::awaitable<void> waitForProgress(SequencePtr sequence)
    {
        auto timer = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor,
                                                          asio::steady_timer::time_point::max());
        sequence->waiters.push_back(timer);
        co_await timer->async_wait(nothrowAwaitable);
    }

    void notifyWaiters(Sequence &sequence)
    {
        for (const auto &timer : sequence.waiters)
            timer->cancel();
        sequence.waiters.clear();
    }

    void startSteps()
    {
        if (this->stepping)
            return;
        this->stepping = true;
        asio::co_spawn(this->context, this->stepLoop(), asio::detached);
    }

    // Continuous batching: before each step, queued sequences fill the free places of the batch;
    // the step then generates one token for each running sequence.
    asio::awaitable<void> stepLoop()
    {
        while (!this->queued.empty() || !this->running.empty()) {
            this->fillBatch();
            const double batch = static_cast<double>(this->running.size());
            const double stepMs = this->options.stepMs + this->options.stepMsPerSequence * batch;
            if (stepMs > 0) {
                this->stepTimer.expires_after(
                    std::chrono::microseconds(static_cast<std::int64_t>(stepMs * 1000)));
                co_await this->stepTimer.async_wait(nothrowAwaitable);
            } else {
                co_await asio::post(this->context, asio::use_awaitable);
            }
            ++this->counters.steps;
            this->counters.sequenceSteps += this->running.size();
            this->stepOnce();
        }
        this->stepping = false;
    }

    void fillBatch()
    {
        while (!this->queued.empty()
               && this->running.size() < static_cast<std::size_t>(this->options.maxBatch)) {
            const auto first = std::min_element(this->queued.begin(), this->queued.end(),
                                                [](const SequencePtr &a, const SequencePtr &b) {
                                                    return a->priority < b->priority;
                                                });
            this->running.push_back(*first);
            this->queued.erase(first);
        }
    }

    void stepOnce()
    {
        for (const SequencePtr &sequence : this->running) {
            if (!sequence->ended())
                ++sequence->produced;
            this->notifyWaiters(*sequence);
        }
        std::vector<SequencePtr> unfinished;
        for (const SequencePtr &sequence : this->running) {
            if (!sequence->ended()) {
                unfinished.push_back(sequence);
                continue;
            }
            this->finish(*sequence);
        }
        this->running = std::move(unfinished);
    }

    void finish(const Sequence &sequence)
    {
        const auto slot = this->resident.find(sequence.adapter);
        if (slot != this->resident.end() && slot->second > 0 && sequence.epoch == this->epoch)
            --slot->second;
        this->finished.push_back(sequence.id);
        if (this->finished.size() <= maxFinishedRequests)
            return;
        this->sequences.erase(this->finished.front());
        this->finished.pop_front();
    }

    /** The status as of now; the engine serves it with a lag, in `report`. */
    Json currentReport() const
    {
        Json adapters = Json::array();
        for (const auto &[adapter, runs] : this->resident)
            adapters.push_back({{"adapter", adapter}, {"running", runs}});
        return Json{{"name", this->options.name},
                    {"epoch", this->epoch},
                    {"slots", this->options.slots},
                    {"maxBatch", this->options.maxBatch},
                    {"resident", adapters},
                    {"loading", this->loading},
                    {"running", this->running.size()},
                    {"queued", this->queued.size()},
                    {"steps", this->counters.steps},
                    {"sequenceSteps", this->counters.sequenceSteps},
                    {"loads", this->counters.loads},
                    {"evictions", this->counters.evictions},
                    {"evictedUnderRun", this->counters.evictionsInUse},
                    {"staleOrders", this->counters.staleCommands},
                    {"requests", this->counters.requests},
                    {"twiceRun", this->counters.executedTwice}};
    }

    void refreshReport()
    {
        this->report = this->currentReport();
    }

    asio::awaitable<void> reportLoop()
    {
        while (true) {
            co_await sleepMs(this->options.reportLagMs);
            this->refreshReport();
        }
    }

    asio::io_context &context;
    EngineOptions options;
    HttpClient client;
    asio::steady_timer stepTimer;
    FaultInjector faults;
    std::uint64_t epoch = 1;
    std::pair<std::uint64_t, std::uint64_t> highestToken{0, 0}; ///< of the fencing tokens
                                                                ///< seen: offset, local count
    std::map<std::string, int> resident; ///< running and queued requests by adapter
    std::size_t loading = 0; ///< loads in progress
    std::unordered_map<std::string, SequencePtr> sequences;
    std::deque<std::string> finished; ///< ids, oldest first
    std::vector<SequencePtr> running;
    std::deque<SequencePtr> queued;
    bool stepping = false;
    Counters counters;
    Json report;
    HttpServer server;
};

} // namespace

std::unique_ptr<Standin> startEngine(asio::io_context &context, const EngineOptions &options)
{
    return std::make_unique<Engine>(context, options);
}

} // namespace monsoonbay::standins
