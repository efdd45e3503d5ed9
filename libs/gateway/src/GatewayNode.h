#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>

#include "CapacityWaiters.h"
#include "ConfigReaders.h"
#include "GatewayPeers.h"
#include "ResumeState.h"
#include "Signal.h"
#include "TargetPool.h"
#include "UsageSnapshotState.h"
#include "access/Confirmation.h"
#include "access/KeyTable.h"
#include "gateway/GatewaySettings.h"
#include "gateway/PlatformPort.h"
#include "observe/Metrics.h"
#include "quota/FleetSize.h"
#include "quota/UsageWindow.h"
#include "serving/AdapterScheduler.h"
#include "serving/AdvertisedLimit.h"
#include "serving/CallIdentity.h"
#include "serving/ChangeLog.h"
#include "serving/EngineChoice.h"
#include "serving/EngineLog.h"
#include "serving/EngineRecord.h"
#include "serving/HarmfulCalls.h"
#include "serving/LoadDecline.h"
#include "serving/LoadQueue.h"
#include "serving/PartitionLease.h"
#include "serving/PendingLoads.h"
#include "serving/PrefillQueue.h"
#include "serving/PrefillRate.h"
#include "serving/PrefixIndex.h"
#include "serving/PrefixLog.h"
#include "serving/ServiceRetryBudget.h"
#include "serving/ServingConfig.h"
#include "serving/TargetHealth.h"
#include "serving/TargetLinks.h"
#include "serving/TargetTable.h"
#include "serving/UsageLedger.h"
#include "serving/ZoneRelay.h"
#include "transfer/DocumentCache.h"
#include "transfer/PartSizing.h"
#include "transport/CallerConnections.h"
#include "transport/HttpClient.h"

namespace monsoonbay {

/** Whether the store's records of VMs show boots before those of the system's first start. */
enum class EarlierBoots : std::uint8_t {
    Unknown, ///< they were not read yet
    None,
    Seen,
};

/** A call whose answer ended early because the connection was lost. */
struct LostCall
{
    CallIdentity call;
    Instant at{};
    bool wasRunning = false; ///< the target was heard since the last loss before it was sent

    auto operator<=>(const LostCall &) const = default;
};

/** Calls lost recently at a target, kept until it is known whether the target ended. */
struct LostCalls
{
    std::deque<LostCall> calls;
    bool checking = false; ///< the target is being probed
    Instant heardAt{}; ///< when it last sent a part of an answer since its start; zero: never
    Instant lostAt{}; ///< first loss since it was heard; zero: none

    auto operator<=>(const LostCalls &) const = default;
};

/** A connection on which a call waits that may be sent again. */
struct RepeatableCall
{
    std::string target;
    std::weak_ptr<TargetConnection> connection;
    Instant since{}; ///< when it was sent
};

using AwaitedTargets = std::unordered_map<std::string, AwaitedAnswers>; ///< by target

/** This VM's own state of one target, apart from the target's entry in the platform's list. */
struct TargetRuntime
{
    std::uint64_t hash = 0;
    TargetHealth health;
    LinkObservation link;
    TargetPool pool;
    Instant startConfirmedAt{}; ///< when the last request that confirmed its start was sent
    LostCalls lost;
    Instant pausedUntil{}; ///< it has asked this VM to send no calls before
    AdvertisedLimit limit;
    bool leaving = false; ///< it is shutting down; kept when the list has dropped it
    TargetUsage ownUsage; ///< by calls of this VM
    std::map<std::string, int> ownAdapterRuns; ///< calls of this VM in flight, by adapter
    std::unordered_map<std::string, std::int64_t> resident; ///< version by adapter key
    std::unordered_map<std::string, Instant> residentSince; ///< when this VM learnt it, by adapter
    HostCopies copies; ///< adapters with a copy in host memory, which load fast
    std::set<std::string> models; ///< resident base models
    PendingLoads incoming;
    LoadBackoff loadBackoff; ///< backoff after a declined load, for all calls of this VM
};

/** The last lease confirmation of a zone peer: whether it may command engines of the zone. */
struct PeerLeaseConfirmation
{
    Instant triedAt{}; ///< time of the latest request
    Instant firstAnswerAt{}; ///< when the first answer arrived; zero: none
    std::optional<PeerLeaseState> report; ///< the latest answer, as of its request

    auto operator<=>(const PeerLeaseConfirmation &) const = default;
};

/** What this VM knows of another one. */
struct PeerState
{
    std::string name; ///< empty: not known
    Endpoint endpoint;
    std::string zone; ///< empty: not known
    double capacity = 0;
    std::uint64_t boot = 0; ///< 0: nothing was received from it yet
    std::uint64_t sequence = 0; ///< of its newest report
    Instant addedAt{};
    Instant knownSince{}; ///< as `addedAt`, but not renewed if it was removed meanwhile
    Instant lastMessageAt{}; ///< its latest report, request or answer; zero: none yet
    Instant lastReportAt{}; ///< its newest report with usage
    bool starting = false;
    bool stopping = false;
    bool leftLeaseGroup = false; ///< for this boot, by its last lease confirmation
    bool storeUnreachable = false;
    bool leaseHolder = false; ///< it is one of the lease holders of its zone
    bool linksLost = false; ///< it does not reach engines that other VMs reach
    std::int64_t configVersion = 0; ///< version in force there, by its latest report or answer
    Instant storeReachedAt{}; ///< when the store last answered it, by its report; zero: not known

    // Exchanges that this VM initiates.
    bool exchangeRunning = false; ///< one is in progress
    int failures = 0; ///< consecutive
    Instant retryAt{}; ///< after a failure: no further attempt before this
    std::uint64_t seenBoot = 0; ///< its boot, which `seenChange` belongs to
    std::uint64_t seenChange = 0; ///< last of its changes that was received
    bool hasMoreUpdates = false; ///< its last answer did not contain all its changes
    bool fullSyncRunning = false; ///< it is sending its full state, and has not sent all of it yet
    std::set<std::string> fullSyncTargets; ///< targets received so far of that full state
    std::uint64_t sentBoot = 0; ///< its boot to which changes up to `sentChange` were sent
    std::uint64_t sentChange = 0; ///< last of this VM's changes that was sent to it
    std::uint64_t seenPrefix = 0; ///< last received entry of its prefix log, in boot `seenBoot`
    std::set<std::string> missingEngines; ///< it sent deltas to records that this VM does not have
    std::set<std::string> requestedEngines; ///< it has requested whole records of these
    std::uint64_t sentPrefix = 0; ///< last own prefix log entry that was sent to boot `sentBoot`

    int configFailures = 0; ///< consecutive failed reads of its configuration
    Instant configRetryAt{}; ///< no further read before this

    PeerLeaseConfirmation leaseConfirmation;
    Instant loadFailedAt{}; ///< when it last left a load request unanswered; zero: never
};

/** State of a VM that this one may forward calls to. */
struct ForwardPeer
{
    TargetPool pool;
    std::unordered_map<std::string, Instant> notBefore; ///< when it takes calls again; by service
};

/** A load requested by calls of this VM. */
struct LoadInFlight
{
    explicit LoadInFlight(asio::io_context &context)
        : done(context)
    { }

    Signal done;
    int waiters = 1; ///< calls that wait for it
    bool firstCallSent = false; ///< the others wait for the outcome of the one that went first
    bool firstCallRefused = false; ///< one of the others requests the load again
};

/** Calls of a service that wait for a retry, in the order in which they get one. */
struct RetryQueue
{
    std::list<std::uint64_t> tickets;
    std::uint64_t lastTicket = 0;
};

/** An engine for which this VM sends the commands, as the lease holder. */
struct HeldEngine
{
    explicit HeldEngine(asio::io_context &context)
        : changed(context)
    { }

    AdapterScheduler scheduler;
    bool commandInFlight = false; ///< a command or report request is in flight
    Instant commandSince{}; ///< when the latest one was sent
    bool unreachable = false; ///< links to engines are lost, and it does not answer either
    bool checkingLoads = false; ///< a report is being read to see whether loads are done
    Instant loadsCheckedAt{}; ///< when such a report was last requested
    Instant retryAt{}; ///< no command or report request before this
    int refusals = 0; ///< consecutive
    LoadQueue queue;
    Signal changed;
};

/** A target as it is reported to other VMs. */
struct SharedTarget
{
    TargetEntry entry;
    bool gone = false;
    bool expired = false; ///< its entry expired during an outage; it may be listed again

    auto operator<=>(const SharedTarget &) const = default;
};

/** A VM as it is reported to other VMs. */
struct SharedVm
{
    std::string name;
    std::string zone;
    double capacity = 0;

    auto operator<=>(const SharedVm &) const = default;
};

/** Another VM's calls at an engine that this VM holds the lease for. */
struct ReportedRuns
{
    std::map<std::string, int> byAdapter; ///< empty: it has none there now
    std::uint64_t boot = 0; ///< of that VM
    std::uint64_t sequence = 0; ///< of its usage report; an older one that arrives late is dropped
    Instant at{};

    auto operator<=>(const ReportedRuns &) const = default;
};

/** Evidence on calls, and whether this VM observed it itself. */
struct KnownEvidence
{
    CallEvidence evidence;
    bool own = false;

    auto operator<=>(const KnownEvidence &) const = default;
};

/**
 * State that VMs replicate to each other. A peer names the last change that it has received, and is
 * sent the later ones.
 */
struct SharedState
{
    ChangeCounter counter;
    EngineLog engines;
    ChangeLog<std::string, SharedTarget> targets;
    ChangeLog<std::string, std::int64_t> adapterVersions; ///< in force, by adapter key
    ChangeLog<Endpoint, SharedVm> vms;
    ChangeLog<std::uint64_t, KnownEvidence> evidence; ///< by a random id from the observing VM
};

/** Prompt prefixes that engines are believed to have cached, and the log sent to other VMs. */
struct SharedPrefixes
{
    PrefixIndex table;
    PrefixLog log;
};

/** Prefix of the reporter name that stands for another zone as a whole; see UsageLedger. */
constexpr std::string_view zoneReporterPrefix = "zone ";

inline std::string zoneReporterName(const std::string &zone)
{
    return std::string(zoneReporterPrefix) + zone;
}

/** The latest state received from this VM's relay. */
struct RelayState
{
    Endpoint relay;
    Instant at{}; ///< zero: no relay answers
    TargetUsages others; ///< of all VMs except those that this VM reports for
    int vms = 1; ///< seen recently, in all zones
    int linkedZonePeers = 0; ///< other VMs of the zone that reach engines
    WorkspaceUses otherWorkspaces; ///< of all reachable VMs except those that this one reports for
    int reachableVms = 1; ///< reachable VMs, including this one and those it reports for
};

/** What was known of other VMs' usage before the relay changed. */
struct FormerUsage
{
    TargetUsages targets;
    Instant at{}; ///< of that change; zero: there was none
};

/** The relay from which this VM has received the whole target list, and now applies changes. */
struct ListSource
{
    Endpoint relay;
    std::uint64_t boot = 0; ///< of that relay; 0: this VM reads the list itself, or has none

    auto operator<=>(const ListSource &) const = default;
};

/** Prompt tokens that wait for prefill at engines; see PrefillReservation.h. */
struct PrefillCounts
{
    std::unordered_map<std::string, PrefillQueue> held; ///< at engines that this VM holds
    std::unordered_map<std::string, PrefillQueue> reported; ///< at others, as their holders replied
    std::map<Endpoint, Instant> unansweredAt; ///< VMs that did not answer, and when
};

/** A configuration that is being downloaded from peers, part by part. */
struct ConfigDownload
{
    PartialDocument partial;
    PartSizing partSize;
    Endpoint source; ///< the peer that parts are requested from
    std::int64_t expected = 0; ///< version that a redirect said `source` has or is reading; 0: none
    bool redirectFailed = false; ///< a redirect led to a VM that sent nothing
    bool decoding = false; ///< all parts have arrived
    Instant begunAt{};
    Instant lastProgressAt{}; ///< when it began, the source changed, or the last part came
};

/** The state of one gateway. Accessed by one thread only. */
struct GatewayNode
{
    explicit GatewayNode(const GatewaySettings &settings);

    GatewaySettings settings;
    const PlatformPort *platform;
    CapacityWaiters capacityWaiters; ///< outlives the context, whose destruction ends the calls
    std::unordered_map<std::string, RetryQueue> retryQueues; ///< by service; outlives it likewise
    /** Outlives the coroutines of the connections, which end with the context. */
    CallerConnections callerConnections;
    // By service; calls that end with the context still change them.
    std::unordered_map<std::string, AwaitedTargets> awaitedAnswers;
    std::unordered_map<std::string, std::list<RepeatableCall>> repeatableCalls;
    asio::io_context context;
    std::optional<asio::thread_pool> decoding; ///< one more thread, for large documents
    HttpClient http;
    Metrics metrics;
    std::mt19937_64 random;
    std::uint64_t boot = 0;

    std::shared_ptr<const RouteTable> routes; ///< never null
    DocumentCache config; ///< packed, as peers download it
    ConfigDownload configDownload;
    ConfigReaders configReaders;
    KeyTable keys; ///< of the configuration in force
    Confirmations confirmations;
    Signal confirmed; ///< a version was confirmed or put in force
    std::unordered_map<KeyDigest, Instant, KeyDigestHash> unknownKeys; ///< and their first use
    int routesAwaited = 0; ///< calls without a route that wait for a newer configuration
    int keysAwaited = 0; ///< calls with an unknown key that wait for a newer configuration
    std::unordered_map<std::string, UsageWindow> spending; ///< of this VM's calls, by workspace
    FleetSize fleet;
    UsageSnapshotState usageSnapshots;
    Signal configOffered; ///< a peer has a newer configuration
    SharedState shared;
    SharedPrefixes prefixes;
    TargetTable targetTable;
    std::unordered_map<std::string, std::unique_ptr<TargetRuntime>> targets;
    std::unordered_map<std::string, ServiceRetryBudget> retryBudgets; ///< by service
    Signal retryEarned; ///< a call has earned a part of a retry

    ResumeState resuming;
    std::unordered_map<std::string, ServiceLinks> serviceLinks; ///< by service
    FormerUsage formerUsage;
    std::map<Endpoint, ForwardPeer> forwardPeers; ///< by their address for forwarded calls

    std::map<Endpoint, PeerState> peers;
    /** Also of peers that were removed as silent: the list may name them again. */
    std::map<Endpoint, Instant> peersKnownSince;
    std::uint64_t reportSequence = 0;
    UsageLedger reported; ///< usage reported by VMs of the zone and by relays of other zones
    RelayState relayState;
    ListSource listSource;
    /** Adapters in use at engines that this VM holds, by engine and reporting VM. */
    std::unordered_map<std::string, std::map<Endpoint, ReportedRuns>> reportedRuns;
    std::set<std::string> runsChanged; ///< engines whose lease holder needs a usage report
    Signal runsDue; ///< `runsChanged` has grown
    std::uint64_t usageSequence = 0; ///< of the latest usage report
    std::map<std::string, Endpoint> zoneRelays; ///< of other zones, as their VMs report
    std::set<std::string> reportedEngines; ///< reported by VMs that this one relays for
    bool relaying = false; ///< this VM reads the store for its zone
    bool vmListRead = false; ///< the store's list of VMs was read
    std::int64_t bootCount = 0; ///< boots of this VM, by the store; 0: not known yet
    EarlierBoots earlierBoots = EarlierBoots::Unknown;
    int recentVms = 1; ///< highest recent number of VMs
    Instant recentVmsAt{};
    GatewayPeers peerLinks;

    PartitionLease lease;
    Instant bootedAt;
    bool mayHoldLease = false; ///< it takes part in the lease group of the zone
    Instant joinedLeaseGroupAt{}; ///< when it joined that group first; zero: not yet
    bool leaseYielded = false; ///< lease left to zone peers; see shouldYieldLease()
    Instant leaseYieldedAt{}; ///< when it last was
    bool leaseRenewed = false; ///< the last renewal was granted
    bool renewalFailing = false;
    std::vector<PartitionRelease> peerReleases; ///< of zone peers, passed on to the others
    bool recordingClaims = false; ///< lease holder records in the store are being read or added
    Instant claimRetryAt{}; ///< no further attempt before this
    std::unordered_map<std::string, std::unique_ptr<HeldEngine>> heldEngines;
    /** By engine and adapter. */
    std::map<std::pair<std::string, std::string>, std::shared_ptr<LoadInFlight>> loadsInFlight;
    LoadEstimator loadEstimator;
    std::unordered_map<std::string, PrefillRate> prefillRates; ///< by service
    PrefillCounts prefill;
    HarmfulCalls harmful; ///< derived from the evidence
    /** When this VM last tried a verdict, by its attributes. */
    std::map<std::vector<CallAttribute>, Instant> harmfulTrials;
    bool evidenceChanged = false; ///< since the last evaluation
    std::size_t evidenceSize = 0; ///< number of hashes in all evidence
    std::deque<Instant> modelLoads; ///< recent base model loads commanded by this VM

    Signal started; ///< the first configuration, or the first target list, has arrived
    Signal engineChanged; ///< resident adapters or loads of engines changed
    Signal callStartedWaiting; ///< a call has started to wait for capacity
    Signal reportDue; ///< a change should reach the relay before the next regular report
    bool storeUp = false;
    StoreEra storeEra; ///< highest of all answers of the store
    bool storeEraInvalid = false; ///< the latest answer was of a lower one
    Instant storeFailedAt{}; ///< latest failed read since the store last answered; zero: none
    Instant storeFailingSince{}; ///< first failed read since the store last answered; zero: none
    Instant storeReachedAt{}; ///< when the store last answered this VM; zero: never
    bool shuttingDown = false;
    Instant callsEndBy{}; ///< while shutting down: when the calls still in flight are aborted
    bool leftLeaseGroup = false; ///< it has left the lease group for good
    bool stopped = false;
    int callsInFlight = 0;
    int forwardedInFlight = 0; ///< those of them that other VMs forwarded
    int connections = 0;
    Duration loopDelay{}; ///< by which a task that was due last began late
};

/** This VM's state of a target; created on first use. */
TargetRuntime &runtimeOf(GatewayNode &node, const std::string &target);

/** The listed entry of a target; null if it is not listed. */
const TargetEntry *entryOf(const GatewayNode &node, const std::string &target);

/**
 * Sets the resident adapters of an engine. Adapters that came or went count as recently used in its
 * host memory, and cached prefixes of those that went or were replaced are dropped.
 */
void setResident(GatewayNode &node, const std::string &target, ResidentVersions resident);

/** How long ago this VM learnt that the target holds the adapter; zero if it does not know so. */
Duration timeBelievedResident(GatewayNode &node, const std::string &target,
                              const std::string &adapter);

/** Number of VMs, including this one; VMs that fell silent are still counted for a while. */
int liveGateways(const GatewayNode &node);

/** Updates liveGateways() from the reports that arrive now. */
void updateLiveGateways(GatewayNode &node, Instant now);

/** The version of an adapter that is in force; 0 if none is known. */
std::int64_t versionInForce(const GatewayNode &node, const std::string &adapter);

/** When the configuration in force was last confirmed to be the newest; nothing: never. */
std::optional<Instant> configConfirmedAt(const GatewayNode &node);

/** Records that the store has answered this VM, or has failed to. */
void recordStoreAnswer(GatewayNode &node, bool answered, Instant now);

/** This VM's own rank among the candidates for the relay of its zone. */
RelayRank ownRank(const GatewayNode &node);

/** True if this VM has no configuration or no target list yet. */
bool isStarting(const GatewayNode &node) noexcept;

/** Until when the target has asked this VM to send no calls; zero: it takes calls now. */
Instant pausedUntil(const GatewayNode &node, const std::string &target, Instant now);

/** Targets of a service that may get work, including those that refuse calls of this VM now. */
std::vector<const TargetRecord *> targetsOf(const GatewayNode &node, const std::string &service);

/** Usage of one target by calls of all VMs, not split by adapter, and how calls ended recently. */
TargetUsage totalLoad(const GatewayNode &node, const std::string &target);

/** The same for the calls of all other VMs. */
TargetUsage othersUsageAt(const GatewayNode &node, const std::string &target);

bool isReady(const GatewayNode &node) noexcept;

/** Sleeps for `duration`. */
asio::awaitable<void> pauseFor(GatewayNode &node, Duration duration);

/** Starts `task` as an independent coroutine; an exception that ends it is logged. */
void spawn(GatewayNode &node, std::string_view what, asio::awaitable<void> task);

} // namespace monsoonbay
