#include "observe/Metrics.h"

#include <cmath>
#include <mutex>
#include <sstream>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/histogram.hpp>

namespace monsoonbay {

namespace {

namespace bh = boost::histogram;

constexpr std::size_t shardCount = 8;
constexpr std::size_t timingCount = static_cast<std::size_t>(Timing::Count);
constexpr std::size_t counterCount = static_cast<std::size_t>(Counter::Count);
constexpr unsigned binCount = 96;
constexpr double minSeconds = 1e-5;
constexpr double maxSeconds = 1e3;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(Axis(binCount, minSeconds, maxSeconds)));

constexpr std::array<std::string_view, counterCount> counterNames{"requests_received",
                                                                  "requests_answered",
                                                                  "requests_refused",
                                                                  "requests_failed",
                                                                  "requests_stalled",
                                                                  "bounces",
                                                                  "resumes",
                                                                  "retries",
                                                                  "pieces_dropped",
                                                                  "wrong_answers",
                                                                  "key_replays",
                                                                  "loads_done",
                                                                  "loads_failed",
                                                                  "peer_sent_bytes",
                                                                  "peer_messages_sent",
                                                                  "engine_calls",
                                                                  "tokens_streamed",
                                                                  "keys_refused",
                                                                  "over_limit",
                                                                  "over_limit_small",
                                                                  "over_limit_rank_0",
                                                                  "over_limit_rank_1",
                                                                  "over_limit_rank_2",
                                                                  "cached_tokens",
                                                                  "prefixes_missing",
                                                                  "loads_shared",
                                                                  "loads_joined",
                                                                  "loads_declined_other",
                                                                  "loads_declined_no_slot",
                                                                  "loads_declined_queue",
                                                                  "loads_declined_engine_silent",
                                                                  "loads_declined_model_missing",
                                                                  "loads_declined_not_holder",
                                                                  "calls_forwarded",
                                                                  "answers_unproved",
                                                                  "streams_taken_up",
                                                                  "resumes_unknown",
                                                                  "resumes_without_engine",
                                                                  "stream_origins_told",
                                                                  "forwards_refused",
                                                                  "forwards_refused_silent",
                                                                  "forwards_refused_malformed",
                                                                  "forwards_refused_stopping",
                                                                  "forwards_refused_links_lost",
                                                                  "forwards_refused_config",
                                                                  "forwards_refused_busy",
                                                                  "forwards_unplaced",
                                                                  "retries_from_calls",
                                                                  "retries_from_slack",
                                                                  "retries_refused",
                                                                  "bounced_adapter_not_loaded",
                                                                  "bounced_adapter_gone",
                                                                  "bounced_other_target",
                                                                  "bounced_full",
                                                                  "bounced_leaving",
                                                                  "bounced_unreachable",
                                                                  "bounced_failed",
                                                                  "callers_left",
                                                                  "calls_timed_out",
                                                                  "news_to_mates_uses_bytes",
                                                                  "news_to_mates_engines_bytes",
                                                                  "news_to_mates_targets_bytes",
                                                                  "news_to_mates_workspaces_bytes",
                                                                  "news_to_mates_prefixes_bytes",
                                                                  "news_to_mates_config_bytes",
                                                                  "news_to_mates_rest_bytes",
                                                                  "news_to_zones_uses_bytes",
                                                                  "news_to_zones_engines_bytes",
                                                                  "news_to_zones_targets_bytes",
                                                                  "news_to_zones_workspaces_bytes",
                                                                  "news_to_zones_prefixes_bytes",
                                                                  "news_to_zones_config_bytes",
                                                                  "news_to_zones_rest_bytes",
                                                                  "idle_closed_for_room",
                                                                  "reading_closed_for_room",
                                                                  "connections_refused_for_room",
                                                                  "calls_refused_for_room"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Gauge::Count)> gaugeNames{
    "calls_waiting", "longest_silence_ms", "caller_connections", "caller_bytes"};

constexpr std::array<std::string_view, timingCount> timingNames{
    "load_stall_seconds",         "first_piece_seconds",
    "between_pieces_seconds",     "refusal_seconds",
    "forecast_error_seconds",     "spend_note_age_seconds",
    "cancelled_call_end_seconds", "loop_delay_seconds"};

struct Shard
{
    mutable std::mutex mutex;
    std::vector<Histogram> histograms;
    std::array<double, timingCount> sums{};
};

struct Merged
{
    Histogram histogram = bh::make_histogram(Axis(binCount, minSeconds, maxSeconds));
    double sum = 0;
};

std::uint64_t countOf(const Histogram &histogram)
{
    return static_cast<std::uint64_t>(bh::algorithm::sum(histogram));
}

double quantile(const Histogram &histogram, double share)
{
    const double rank = share * static_cast<double>(countOf(histogram));
    double seen = 0;
    for (auto &&cell : bh::indexed(histogram, bh::coverage::all)) {
        seen += static_cast<double>(*cell);
        if (seen >= rank && seen > 0)
            return std::isfinite(cell.bin(0).upper()) ? cell.bin(0).upper() : maxSeconds;
    }
    return 0;
}

} // namespace

struct Metrics::Impl
{
    std::array<Shard, shardCount> shards;

    Merged merged(std::size_t timing) const
    {
        Merged all;
        for (const Shard &shard : this->shards) {
            const std::lock_guard guard(shard.mutex);
            all.histogram += shard.histograms[timing];
            all.sum += shard.sums[timing];
        }
        return all;
    }
};

Metrics::Metrics()
    : impl(std::make_unique<Impl>())
{
    for (Shard &shard : this->impl->shards) {
        for (std::size_t timing = 0; timing < timingCount; ++timing)
            shard.histograms.push_back(bh::make_histogram(Axis(binCount, minSeconds, maxSeconds)));
    }
}

Metrics::~Metrics() = default;

void Metrics::add(Counter counter, std::uint64_t amount) noexcept
{
    this->counters[static_cast<std::size_t>(counter)].fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t Metrics::value(Counter counter) const noexcept
{
    return this->counters[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
}

void Metrics::set(Gauge gauge, std::uint64_t value) noexcept
{
    this->gauges[static_cast<std::size_t>(gauge)].store(value, std::memory_order_relaxed);
}

void Metrics::record(Timing timing, double seconds)
{
    const std::size_t index = std::hash<std::thread::id>{}(std::this_thread::get_id()) % shardCount;
    Shard &shard = this->impl->shards[index];
    const std::lock_guard guard(shard.mutex);
    shard.histograms[static_cast<std::size_t>(timing)](seconds);
    shard.sums[static_cast<std::size_t>(timing)] += seconds;
}

TimingSummary Metrics::summary(Timing timing) const
{
    const Merged all = this->impl->merged(static_cast<std::size_t>(timing));
    TimingSummary summary;
    summary.count = countOf(all.histogram);
    summary.sum = all.sum;
    summary.p50 = quantile(all.histogram, 0.50);
    summary.p95 = quantile(all.histogram, 0.95);
    summary.p99 = quantile(all.histogram, 0.99);
    return summary;
}

std::string Metrics::openMetrics() const
{
    std::ostringstream text;
    for (std::size_t index = 0; index < counterCount; ++index) {
        text << "# TYPE monsoonbay_" << counterNames[index] << " counter\n"
             << "monsoonbay_" << counterNames[index] << "_total "
             << this->value(static_cast<Counter>(index)) << "\n";
    }
    for (std::size_t index = 0; index < gaugeNames.size(); ++index) {
        text << "# TYPE monsoonbay_" << gaugeNames[index] << " gauge\n"
             << "monsoonbay_" << gaugeNames[index] << " "
             << this->gauges[index].load(std::memory_order_relaxed) << "\n";
    }
    for (std::size_t index = 0; index < timingCount; ++index) {
        const Merged all = this->impl->merged(index);
        const std::string name = "monsoonbay_" + std::string(timingNames[index]);
        text << "# TYPE " << name << " histogram\n";
        double cumulative = 0;
        for (auto &&cell : bh::indexed(all.histogram, bh::coverage::all)) {
            cumulative += static_cast<double>(*cell);
            const double upper = cell.bin(0).upper();
            if (!std::isfinite(upper) || *cell == 0)
                continue;
            text << name << "_bucket{le=\"" << upper << "\"} " << cumulative << "\n";
        }
        text << name << "_bucket{le=\"+Inf\"} " << cumulative << "\n"
             << name << "_sum " << all.sum << "\n"
             << name << "_count " << cumulative << "\n";
    }
    text << "# EOF\n";
    return text.str();
}

} // namespace monsoonbay
