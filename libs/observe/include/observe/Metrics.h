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
    OverLimitSmall, ///< this and the next three: the same by class; see quota/CallClass.h
    OverLimitRank0,
    OverLimitRank1,
    OverLimitRank2,
    CachedTokens, ///< prompt tokens that engines were believed to have cached from earlier calls
    PrefixesMissing, ///< calls whose prompt the engine had not cached, against that belief
    LoadsShared, ///< loads that served several calls of one VM
    LoadsJoined, ///< load requests that found the load in progress at the engine already
    LoadsDeclinedOther, ///< the lease holder has not answered, or has given no reason
    LoadsDeclinedNoSlot,
    LoadsDeclinedQueue,
    LoadsDeclinedSilent, ///< the engine does not answer
    LoadsDeclinedModel,
    LoadsDeclinedHolder, ///< the VM that was asked does not hold the lease for the engine
    CallsForwarded, ///< calls that another VM has accepted
    AnswersUnproved, ///< answers whose end only the target's closed connection showed
    StreamsTakenUp, ///< streams resumed by callers whose origin is known
    ResumesUnknown, ///< streams whose resumption was refused because their origin is not known
    ResumesWithoutEngine, ///< refused or ended as no engine of the version that began them took
                          ///< them
    StreamOriginsTold, ///< stream origins sent to the VMs that keep them
    ForwardsRefused, ///< offers of a call that another VM did not accept
    ForwardsRefusedSilent, ///< this and the next five: the same by reason; it did not answer
    ForwardsRefusedMalformed,
    ForwardsRefusedStopping,
    ForwardsRefusedLinksLost,
    ForwardsRefusedConfig,
    ForwardsRefusedBusy,
    ForwardsUnplaced, ///< calls that no other VM accepted
    RetriesFromCalls, ///< retries granted from the ratio of the calls
    RetriesFromSlack, ///< retries granted from this VM's share of the slack
    RetriesRefused, ///< retries that the budget did not allow, not even after a wait
    BouncedAdapterNotLoaded, ///< this and the next six: attempts that gave no answer, by cause
    BouncedAdapterGone,
    BouncedOtherTarget,
    BouncedFull,
    BouncedLeaving,
    BouncedUnreachable,
    BouncedFailed, ///< the target failed, or its answer was lost
    CallersLeft, ///< calls whose callers closed the connection before the answer was complete
    CallsTimedOut, ///< calls that were not answered by their deadline
    // Bytes of state updates sent to VMs of the own zone, by kind; see gateway/UpdateBytes.h.
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
    IdleClosedForRoom, ///< idle connections of callers closed for others
    ReadingClosedForRoom, ///< incomplete calls that went for others
    ConnectionsRefusedForRoom, ///< new connections closed, as calls were served on all others
    CallsRefusedForRoom, ///< calls for which there was no memory or descriptor
    Count, ///< number of counters, not one of them
};

/** Values that can go up and down. */
enum class Gauge : std::uint8_t {
    CallsWaiting, ///< calls that wait for capacity at an engine
    LongestSilence, ///< milliseconds for which calls to some service have waited in vain
    CallerConnections, ///< open connections of callers
    CallerBytes, ///< of memory that they hold
    Count, ///< number of gauges, not one of them
};

enum class Timing : std::uint8_t {
    LoadStall, ///< seconds a request waited because its adapter was not resident
    FirstPiece, ///< seconds from arrival to the first piece of the answer
    BetweenPieces,
    Refusal, ///< seconds from arrival to a refusal
    ForecastError, ///< seconds by which a first event came earlier or later than expected
    SnapshotAge, ///< seconds from a usage snapshot until a VM receives the permit based on it
    CancelledCallEnd, ///< seconds from the cancellation of a call until this VM stops serving it
    LoopDelay, ///< seconds by which a task that was due began late
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

/** Counters, gauges and histograms of one daemon; histograms are sharded by thread. */
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

    /** All metrics in the OpenMetrics text format. */
    std::string openMetrics() const;

private:
    struct Impl;
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> counters{};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Gauge::Count)> gauges{};
    std::unique_ptr<Impl> impl;
};

} // namespace monsoonbay
