#include "loadgen/Load.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "config/Acceptance.h"
#include "transport/HttpClient.h"

namespace monsoonbay::loadgen {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr auto callTimeout = std::chrono::seconds(5);

double secondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

/** A request with its random properties, drawn before it is sent. */
struct PlannedRequest
{
    bool model = true;
    int adapter = 0; ///< index, also its popularity rank
    bool streamed = false;
    bool withIdempotencyKey = false;
    int tokens = 16;
    std::uint64_t number = 0;
    std::size_t entryVm = 0; ///< index of the VM that it is sent to
};

/** State of one load run; used by one thread. */
struct LoadRun
{
    const Deployment &deployment;
    const LoadOptions &options;
    asio::io_context context{1};
    HttpClient client{context};
    std::mt19937_64 random{};
    std::discrete_distribution<int> adapters{};
    LoadReport report{};
    std::uint64_t inFlight = 0;
};

std::vector<double> zipfWeights(int count, double exponent)
{
    std::vector<double> weights;
    for (int rank = 1; rank <= count; ++rank)
        weights.push_back(1 / std::pow(rank, exponent));
    return weights;
}

/** The text that an engine stand-in generates for this adapter and number of tokens. */
std::string expectedText(const std::string &adapter, int tokens)
{
    std::string text;
    for (int index = 0; index < tokens; ++index)
        text += adapter + ":" + std::to_string(index) + " ";
    return text;
}

/** Counts a refusal, or a failure if the problem document does not say that nothing ran. */
void countProblem(LoadReport &report, const std::string &body, int status)
{
    const Json json = Json::parse(body, nullptr, false);
    const bool problem = json.is_object() && json.contains("type");
    if (problem && json.value("notRun", false)) {
        ++report.refusals[json["type"].get<std::string>()];
        return;
    }
    ++report.failed;
    ++report.refusals[problem ? json["type"].get<std::string>() + " (may have run)"
                              : "status " + std::to_string(status)];
}

HttpCall modelCall(const LoadRun &run, const PlannedRequest &planned)
{
    const Json body{{"model", adapterName(planned.adapter) + "@1"},
                    {"prompt", "summarise the drawing set"},
                    {"max_tokens", planned.tokens},
                    {"stream", planned.streamed}};
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/completions";
    call.body = body.dump();
    call.headers = {{"Authorization", "Bearer " + demoToken},
                    {"Content-Type", "application/json"},
                    {"Monsoonbay-Deadline-Ms", std::to_string(run.options.deadlineMs)}};
    if (planned.withIdempotencyKey)
        call.headers.push_back({"Idempotency-Key", "load-" + std::to_string(planned.number)});
    return call;
}

/** Checks the server-sent events of a streamed answer. */
struct StreamChecker
{
    std::string adapter;
    int nextIndex = 0;
    bool wrong = false;
    bool duplicate = false;
    bool done = false;
    bool errorEvent = false;
    std::string buffer;

    /** Processes a chunk of the response body; returns the number of tokens in it. */
    int consume(const std::string &data)
    {
        int tokens = 0;
        this->buffer += data;
        std::size_t end = 0;
        while ((end = this->buffer.find("\n\n")) != std::string::npos) {
            const std::string event = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            tokens += this->consumeEvent(event) ? 1 : 0;
        }
        return tokens;
    }

    /** Returns true if the event holds a token. */
    bool consumeEvent(const std::string &event)
    {
        if (event == "data: [DONE]") {
            this->done = true;
            return false;
        }
        if (event.starts_with("event: error")) {
            this->errorEvent = true;
            return false;
        }
        const Json json = Json::parse(event.substr(6), nullptr, false);
        if (!json.is_object()) {
            this->wrong = true;
            return false;
        }
        const int index = json.value("index", -1);
        const std::string text = json["choices"][0].value("text", "");
        this->wrong = this->wrong || json.value("model", "") != this->adapter
            || text != this->adapter + ":" + std::to_string(index) + " ";
        this->duplicate = this->duplicate || index < this->nextIndex;
        this->wrong = this->wrong || index > this->nextIndex;
        this->nextIndex = index + 1;
        return true;
    }
};

asio::awaitable<void> sendStreamed(LoadRun &run, PlannedRequest planned, Endpoint endpoint)
{
    const Clock::time_point began = Clock::now();
    HttpClientStream stream(run.client, endpoint);
    HttpCall call = modelCall(run, planned);
    const Duration timeout = std::chrono::milliseconds(run.options.deadlineMs + 5000);
    const HttpResult head = co_await stream.begin(std::move(call), timeout);
    if (head.error) {
        ++run.report.transportErrors;
        co_return;
    }
    std::string chunk;
    if (head.status != 200) {
        co_await stream.read(chunk);
        countProblem(run.report, chunk, head.status);
        co_return;
    }
    StreamChecker check;
    check.adapter = adapterName(planned.adapter) + "@1";
    Clock::time_point last = began;
    std::error_code error;
    while (true) {
        error = co_await stream.read(chunk);
        if (error || chunk.empty())
            break;
        const bool isFirst = check.nextIndex == 0;
        const int tokens = check.consume(chunk);
        if (tokens == 0)
            continue;
        std::vector<double> &samples =
            isFirst ? run.report.firstTokenSeconds : run.report.betweenTokensSeconds;
        samples.push_back(secondsSince(last));
        last = Clock::now();
    }
    run.report.wrongAnswers += check.wrong ? 1 : 0;
    run.report.streamsWithDuplicates += check.duplicate ? 1 : 0;
    const bool complete = check.done && !error && check.nextIndex == planned.tokens;
    const bool reportedFailure = error || check.errorEvent;
    if (complete) {
        ++run.report.answered;
        run.report.answerSeconds.push_back(secondsSince(began));
    } else if (reportedFailure) {
        ++run.report.failed;
    } else {
        ++run.report.truncated;
    }
}

asio::awaitable<void> sendNonStreamed(LoadRun &run, PlannedRequest planned, Endpoint endpoint)
{
    const Clock::time_point began = Clock::now();
    HttpCall call = modelCall(run, planned);
    const Duration timeout = std::chrono::milliseconds(run.options.deadlineMs + 5000);
    const HttpResult result = co_await run.client.call(endpoint, std::move(call), timeout);
    if (result.error) {
        ++run.report.transportErrors;
        co_return;
    }
    if (result.status != 200) {
        countProblem(run.report, result.body, result.status);
        co_return;
    }
    const std::string adapter = adapterName(planned.adapter) + "@1";
    const Json json = Json::parse(result.body, nullptr, false);
    const std::string text =
        json.is_object() ? json["choices"][0].value("text", "") : std::string();
    const std::string expected = expectedText(adapter, planned.tokens);
    if (text == expected) {
        ++run.report.answered;
        run.report.answerSeconds.push_back(secondsSince(began));
    } else if (expected.starts_with(text)) {
        ++run.report.truncated;
    } else {
        ++run.report.wrongAnswers;
    }
}

asio::awaitable<void> sendPlain(LoadRun &run, PlannedRequest planned, Endpoint endpoint)
{
    HttpCall call;
    const bool booking = planned.number % 5 == 0;
    call.method = booking ? "POST" : "GET";
    call.path = booking ? "/tiles/bookings" : "/tiles/sheet/" + std::to_string(planned.number);
    call.body = booking ? "booking " + std::to_string(planned.number) : "";
    call.headers = {{"Authorization", "Bearer " + demoToken}};
    const HttpResult result = co_await run.client.call(endpoint, call, callTimeout);
    if (result.error) {
        ++run.report.transportErrors;
        co_return;
    }
    if (result.status != 200) {
        countProblem(run.report, result.body, result.status);
        co_return;
    }
    const Json json = Json::parse(result.body, nullptr, false);
    const bool matches = json.is_object() && json.value("target", "") == call.path
        && json.value("echo", "") == call.body;
    if (matches)
        ++run.report.plainAnswered;
    else
        ++run.report.wrongAnswers;
}

asio::awaitable<void> sendOne(LoadRun &run, PlannedRequest planned)
{
    ++run.inFlight;
    ++run.report.sent;
    const Endpoint endpoint{run.deployment.entryVms[planned.entryVm].address, callersPort};
    if (!planned.model)
        co_await sendPlain(run, planned, endpoint);
    else if (planned.streamed)
        co_await sendStreamed(run, planned, endpoint);
    else
        co_await sendNonStreamed(run, planned, endpoint);
    --run.inFlight;
}

PlannedRequest drawRequest(LoadRun &run, bool model, std::uint64_t number)
{
    std::uniform_real_distribution<double> unit(0, 1);
    PlannedRequest planned;
    planned.model = model;
    planned.number = number;
    planned.adapter = run.adapters(run.random);
    planned.streamed = unit(run.random) < run.options.streamedShare;
    planned.withIdempotencyKey = unit(run.random) < run.options.idempotencyKeyShare;
    planned.tokens = std::uniform_int_distribution<int>(run.options.minTokens,
                                                        run.options.maxTokens)(run.random);
    planned.entryVm = run.random() % run.deployment.entryVms.size();
    return planned;
}

// Open loop: requests are sent at their drawn times without waiting for earlier answers, so that
// slow answers do not reduce the load.
asio::awaitable<void> sendOpenLoop(LoadRun &run, bool model, double perSecond)
{
    std::exponential_distribution<double> gap(perSecond);
    asio::steady_timer timer(run.context);
    const Clock::time_point began = Clock::now();
    double due = 0;
    for (std::uint64_t number = 0;; ++number) {
        due += gap(run.random);
        if (due > run.options.seconds)
            break;
        timer.expires_at(
            began
            + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(due)));
        co_await timer.async_wait(nothrowAwaitable);
        const PlannedRequest planned = drawRequest(run, model, number * 2 + (model ? 0 : 1));
        asio::co_spawn(run.context, sendOne(run, planned), asio::detached);
    }
}

/** Prints a line each second; stops the run once all are answered, or after the last deadline. */
asio::awaitable<void> showProgress(LoadRun &run)
{
    asio::steady_timer timer(run.context);
    const Clock::time_point began = Clock::now();
    const double maxSeconds = run.options.seconds + run.options.deadlineMs / 1000.0 + 6;
    for (int tick = 1;; ++tick) {
        timer.expires_after(std::chrono::seconds(1));
        co_await timer.async_wait(nothrowAwaitable);
        std::cerr << "\r" << std::fixed << std::setprecision(0) << secondsSince(began)
                  << " s: " << run.report.sent << " sent, "
                  << run.report.answered + run.report.plainAnswered << " answered, " << run.inFlight
                  << " in flight    " << std::flush;
        const bool finished = secondsSince(began) > run.options.seconds && run.inFlight == 0;
        if (finished || secondsSince(began) > maxSeconds)
            break;
    }
    std::cerr << "\n";
    run.context.stop();
}

Json getJson(const Endpoint &endpoint, const std::string &path)
{
    HttpCall call;
    call.path = path;
    const HttpResult result = callBlocking(endpoint, call, callTimeout);
    return result.ok() ? Json::parse(result.body, nullptr, false) : Json();
}

Endpoint logEndpoint(const Deployment &deployment)
{
    const auto settings =
        parseSettings(settingsJson(deployment, deployment.entryVms.front(), "forecast"));
    return settings.value.log;
}

/** True if the entry VM is ready and can use every model engine. */
bool isReady(const Deployment &deployment, const EntryVm &vm)
{
    const Json status = getJson(Endpoint{vm.address, operatorsPort}, "/v1/status");
    if (!status.is_object() || !status.value("ready", false))
        return false;
    std::size_t usable = 0;
    for (const Json &target : status["targets"])
        usable += target.value("usable", false) ? 1 : 0;
    const auto models =
        static_cast<std::size_t>(std::count_if(deployment.targets.begin(), deployment.targets.end(),
                                               [](const Target &target) { return target.model; }));
    return usable == models;
}

} // namespace

Quantiles quantilesOf(std::vector<double> values)
{
    Quantiles quantiles;
    quantiles.count = values.size();
    if (values.empty())
        return quantiles;
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
    };
    quantiles.p50 = at(0.50);
    quantiles.p95 = at(0.95);
    quantiles.p99 = at(0.99);
    return quantiles;
}

bool publishAndAwaitReady(const Deployment &deployment, const std::string &manifest,
                          double timeoutSeconds)
{
    const Clock::time_point began = Clock::now();
    const Json record{{"stream", "manifest"},
                      {"body", writePublication("manifest", ManifestMark{}, {}, manifest)}};
    HttpCall append;
    append.method = "POST";
    append.path = "/v1/append";
    append.body = record.dump();
    bool published = false;
    while (secondsSince(began) < timeoutSeconds) {
        if (!published)
            published = callBlocking(logEndpoint(deployment), append, callTimeout).ok();
        const bool allReady = published
            && std::all_of(deployment.entryVms.begin(), deployment.entryVms.end(),
                           [&](const EntryVm &vm) { return isReady(deployment, vm); });
        if (allReady) {
            std::cerr << "all " << deployment.entryVms.size() << " entry VMs are ready after "
                      << std::fixed << std::setprecision(1) << secondsSince(began) << " s\n";
            return true;
        }
        asio::io_context context;
        asio::steady_timer timer(context, std::chrono::milliseconds(200));
        timer.wait();
    }
    return false;
}

LoadReport runLoad(const Deployment &deployment, const LoadOptions &options)
{
    LoadRun run{deployment, options};
    run.random.seed(options.seed);
    const std::vector<double> weights = zipfWeights(deployment.adapters, options.zipfExponent);
    run.adapters = std::discrete_distribution<int>(weights.begin(), weights.end());
    if (options.modelRequestsPerSecond > 0)
        asio::co_spawn(run.context, sendOpenLoop(run, true, options.modelRequestsPerSecond),
                       asio::detached);
    if (options.plainRequestsPerSecond > 0)
        asio::co_spawn(run.context, sendOpenLoop(run, false, options.plainRequestsPerSecond),
                       asio::detached);
    asio::co_spawn(run.context, showProgress(run), asio::detached);
    run.context.run();
    run.report.transportErrors += run.inFlight;
    return std::move(run.report);
}

std::vector<std::string> readResidentAdapters(const Target &target)
{
    std::vector<std::string> adapters;
    const Json status = getJson(Endpoint{target.address, targetPort}, "/v1/status");
    if (!status.is_object())
        return adapters;
    for (const Json &slot : status["resident"])
        adapters.push_back(slot.value("adapter", ""));
    return adapters;
}

EngineTotals readEngineTotals(const Deployment &deployment)
{
    EngineTotals totals;
    for (const Target &target : deployment.targets) {
        const Json status = getJson(Endpoint{target.address, targetPort}, "/v1/status");
        if (!status.is_object())
            continue;
        totals.steps += status.value("steps", std::uint64_t{0});
        totals.sequenceSteps += status.value("sequenceSteps", std::uint64_t{0});
        totals.loads += status.value("loads", std::uint64_t{0});
        totals.evictionsInUse += status.value("evictedUnderRun", std::uint64_t{0});
        totals.executedTwice += status.value("twiceRun", std::uint64_t{0});
        totals.maxBatch = std::max(totals.maxBatch, status.value("maxBatch", 1));
    }
    return totals;
}

StallTotals readStallTotals(const Deployment &deployment)
{
    StallTotals totals;
    for (const EntryVm &vm : deployment.entryVms) {
        const Json status = getJson(Endpoint{vm.address, operatorsPort}, "/v1/status");
        if (!status.is_object())
            continue;
        const Json &stall = status["loadStall"];
        totals.requests += stall.value("count", std::uint64_t{0});
        totals.stalled += status.value("stalled", std::uint64_t{0});
        totals.p50 = std::max(totals.p50, stall.value("p50", 0.0));
        totals.p95 = std::max(totals.p95, stall.value("p95", 0.0));
        totals.p99 = std::max(totals.p99, stall.value("p99", 0.0));
    }
    return totals;
}

std::string reportTable(const LoadReport &report, const EngineTotals &engines,
                        const StallTotals &stalls)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    const auto row = [&text](const std::string &name, const auto &value) {
        text << std::left << std::setw(44) << name << value << "\n";
    };
    const auto quantileRow = [&](const std::string &name, const Quantiles &values) {
        std::ostringstream cells;
        cells << std::fixed << std::setprecision(3) << values.p50 << " / " << values.p95 << " / "
              << values.p99;
        row(name, cells.str());
    };
    row("requests sent", report.sent);
    row("model requests answered", report.answered);
    row("requests to plain services answered", report.plainAnswered);
    for (const auto &[kind, count] : report.refusals)
        row("  " + kind, count);
    row("failed (ran or may have run)", report.failed);
    row("transport errors", report.transportErrors);
    row("wrong answers", report.wrongAnswers);
    row("streams with a duplicate token", report.streamsWithDuplicates);
    row("truncated answers without an error", report.truncated);
    row("evictions of an adapter in use", engines.evictionsInUse);
    row("requests executed twice", engines.executedTwice);
    quantileRow("load stall s, highest VM, p50 / p95 / p99",
                Quantiles{stalls.requests, stalls.p50, stalls.p95, stalls.p99});
    const double share = stalls.requests == 0
        ? 0
        : static_cast<double>(stalls.stalled) / static_cast<double>(stalls.requests);
    row("share of model requests that stalled", share);
    quantileRow("time to first token s, p50 / p95 / p99", quantilesOf(report.firstTokenSeconds));
    quantileRow("time between tokens s, p50 / p95 / p99", quantilesOf(report.betweenTokensSeconds));
    quantileRow("time to complete answer s, p50 / p95 / p99", quantilesOf(report.answerSeconds));
    row("adapter loads by the engines", engines.loads);
    row("batch efficiency", engines.batchEfficiency());
    return text.str();
}

std::string reportSvg(const std::string &title, const LoadReport &report)
{
    constexpr double width = 640;
    constexpr double height = 320;
    constexpr double margin = 48;
    constexpr double longestSeconds = 30;
    constexpr double shortestSeconds = 0.01;
    const auto x = [&](double seconds) {
        const double share =
            std::log(std::clamp(seconds, shortestSeconds, longestSeconds) / shortestSeconds)
            / std::log(longestSeconds / shortestSeconds);
        return margin + share * (width - 2 * margin);
    };
    const auto curve = [&](std::vector<double> values, const std::string &colour) {
        std::sort(values.begin(), values.end());
        std::ostringstream points;
        for (std::size_t index = 0; index < values.size(); ++index) {
            const double share =
                static_cast<double>(index + 1) / static_cast<double>(values.size());
            points << x(values[index]) << "," << height - margin - share * (height - 2 * margin)
                   << " ";
        }
        return "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" + colour + "\" points=\""
            + points.str() + "\"/>\n";
    };
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << "<text x=\"" << margin << "\" y=\"20\" font-size=\"14\">" << title << "</text>\n"
        << "<text x=\"" << margin << "\" y=\"38\" fill=\"#1f6fb2\">first token</text>\n"
        << "<text x=\"" << margin + 90 << "\" y=\"38\" fill=\"#c0392b\">complete answer</text>\n";
    for (const double tick : {0.01, 0.1, 1.0, 10.0}) {
        svg << "<line x1=\"" << x(tick) << "\" x2=\"" << x(tick) << "\" y1=\"" << margin
            << "\" y2=\"" << height - margin << "\" stroke=\"#ddd\"/><text x=\"" << x(tick) - 10
            << "\" y=\"" << height - margin + 16 << "\">" << tick << " s</text>\n";
    }
    for (const double share : {0.0, 0.5, 0.95, 1.0}) {
        const double y = height - margin - share * (height - 2 * margin);
        svg << "<line x1=\"" << margin << "\" x2=\"" << width - margin << "\" y1=\"" << y
            << "\" y2=\"" << y << "\" stroke=\"#eee\"/><text x=\"8\" y=\"" << y + 4 << "\">"
            << share * 100 << " %</text>\n";
    }
    svg << curve(report.firstTokenSeconds, "#1f6fb2") << curve(report.answerSeconds, "#c0392b")
        << "</svg>\n";
    return svg.str();
}

} // namespace monsoonbay::loadgen
