#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace monsoonbay {

enum class Counter : std::uint8_t {
    RequestsReceived,
    RequestsAnswered,
    RequestsRefused,
    RequestsFailed,
    RequestsStalled,
    Bounces,
    Resumes,
    Retries,
    PiecesDropped,
    WrongAnswers,
    KeyReplays,
    LoadsDone,
    LoadsFailed,
    PeerBytesSent,
    PeerMessagesSent,
    EngineCalls,
    TokensStreamed,
    KeysRefused, ///< calls without a key that is known to be valid
    OverLimit, ///< calls beyond their workspace's limit
    OverLimitSmall, ///< of these, by class; see quota/CallClass.h
    OverLimitRank0,
    OverLimitRank1,
    OverLimitRank2,
    CachedTokens, ///< of prompts, that engines were believed to keep from former calls
    PrefixesMissing, ///< times that they read the whole prompt all the same
    LoadsShared, ///< that served several calls of one VM
    LoadsJoined, ///< calls of a VM that found the load under way at the engine already
    LoadsDeclinedOther, ///< the holder has not answered, or has said no reason
    LoadsDeclinedNoSlot,
    LoadsDeclinedQueue,
    LoadsDeclinedSilent, ///< the engine does not answer
    LoadsDeclinedModel,
    LoadsDeclinedHolder, ///< the VM that was asked may not order the engine
    CallsForwarded, ///< that another VM has taken
    AnswersUnproved, ///< passed on, and ended with the target's connection
    StreamsTakenUp, ///< by callers, of which is known what began them
    ResumesUnknown, ///< refused, as it is not known
    ResumesWithoutEngine, ///< refused or cut, as no engine of that version takes them
    StreamOriginsTold, ///< to the VMs that keep them
    ForwardsRefused, ///< offers of a call that another VM did not take
    // Bytes of news sent to VMs of the own zone, by kind; see gateway/UpdateBytes.h.
    NewsToMatesUses,
    NewsToMatesEngines,
    NewsToMatesTargets,
    NewsToMatesWorkspaces,
    NewsToMatesPrefixes,
    NewsToMatesConfig,
    NewsToMatesRest,
    // The same to VMs of other zones.
    NewsToZonesUses,
    NewsToZonesEngines,
    NewsToZonesTargets,
    NewsToZonesWorkspaces,
    NewsToZonesPrefixes,
    NewsToZonesConfig,
    NewsToZonesRest,
    Count, ///< number of counters, not one of them
};

/** What goes up and down. */
enum class Gauge : std::uint8_t {
    CallsWaiting, ///< for a place at an engine
    Count, ///< number of gauges, not one of them
};

enum class Timing : std::uint8_t {
    LoadStall, ///< seconds a request waited because its adapter was not resident
    FirstPiece, ///< seconds from arrival to the first piece of the answer
    BetweenPieces,
    Refusal, ///< seconds from arrival to a refusal
    ForecastError, ///< seconds by which a first event came earlier or later than expected
    NoteAge, ///< seconds since the spend note that permits a VM more use, as it hears of it
    Count, ///< number of timings, not one of them
};

/** Quantiles of one timing, in seconds. */
struct TimingSummary
{
    std::uint64_t count = 0;
    double sum = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

/** Counters and histograms of one daemon; histograms are sharded by thread. */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void add(Counter counter, std::uint64_t amount = 1) noexcept;
    std::uint64_t value(Counter counter) const noexcept;
    void set(Gauge gauge, std::uint64_t value) noexcept;
    void record(Timing timing, double seconds);
    TimingSummary summary(Timing timing) const;

    /** All of it in the OpenMetrics text format. */
    std::string openMetrics() const;

private:
    struct Impl;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> counters{};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Gauge::Count)> gauges{};
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
