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
#include "transport/HttpClient.h"

namespace monsoonbay {

/** A call whose answer broke off. */
struct LostCall
{
    CallIdentity call;
    Instant at{};

    auto operator<=>(const LostCall &) const = default;
};

/** Calls lost at a target lately, until it is known whether it ended under them. */
struct LostCalls
{
    std::deque<LostCall> calls;
    bool checking = false; ///< the target is being looked at

    auto operator<=>(const LostCalls &) const = default;
};

/** State of one target at this VM, beside what the platform's list says. */
struct TargetRuntime
{
    std::uint64_t hash = 0;
    TargetHealth health;
    LinkObservation link;
    TargetPool pool;
    Instant startConfirmedAt{}; ///< it was asked, and was the start that its entry tells of
    LostCalls lost;
    Instant pausedUntil{}; ///< by its own word to this VM
    AdvertisedLimit limit;
    bool leaving = false; ///< it has said so; also once the list has dropped it
    TargetUsage ownUsage;
    std::map<std::string, int> ownAdapterRuns; ///< calls under way, by adapter
    std::unordered_map<std::string, std::int64_t> resident; ///< version by adapter key
    HostCopies copies; ///< adapters that load fast again there
    std::set<std::string> models; ///< base models that are there
    PendingLoads incoming;
    LoadBackoff loadMark; ///< after a declined load, for all calls of this VM
};

/** The last word of a VM on whether it may order engines of its zone. */
struct PeerLeaseConfirmation
{
    Instant triedAt{}; ///< when it was asked last
    Instant askedAt{}; ///< when it was asked for its last answer; zero: it never answered
    PeerLeaseState confirmation;

    auto operator<=>(const PeerLeaseConfirmation &) const = default;
};

/** Another gateway. */
struct PeerState
{
    std::string name; ///< empty: not known
    Endpoint endpoint;
    std::string zone; ///< empty: not known
    double capacity = 0;
    std::uint64_t boot = 0; ///< 0: never heard
    std::uint64_t sequence = 0; ///< of its newest report
    Instant addedAt{};
    Instant lastHeardAt{}; ///< it reported, asked or answered; zero: never
    Instant lastReportAt{}; ///< its newest report
    bool starting = false;
    bool stopping = false;
    bool leftLeaseGroup =
        false; ///< by its last leaseConfirmation, this boot orders no engines any more
    bool storeUnreachable = false;
    bool leaseHolder = false; ///< it is one of those that order engines of its zone
    bool linksLost = false; ///< it does not reach engines that others reach
    std::int64_t configVersion = 0; ///< that it last told to have in force
    Instant storeReachedAt{}; ///< the store answered it last, by its own leaseConfirmation; zero:
                              ///< not known

    // Exchanges that this VM begins.
    bool exchangeRunning = false; ///< one is under way
    int failures = 0; ///< in a row
    Instant retryAt{}; ///< not before this, after a failure
    std::uint64_t seenBoot = 0; ///< its boot of which `seenChange` counts
    std::uint64_t seenChange = 0;
    bool hasMoreUpdates = false; ///< its last answer did not hold all that changed there
    bool fullSyncRunning = false; ///< it is telling all that it knows, and has not come to the end
    std::set<std::string> fullSyncTargets; ///< targets that it has told so far in that
    std::uint64_t sentBoot = 0; ///< its boot that was told of engines up to `sentChange`
    std::uint64_t sentChange = 0; ///< of this VM's own changes
    std::uint64_t seenPrefix = 0; ///< last of its log of prefixes, in the boot `seenBoot`
    std::set<std::string> missingEngines; ///< it told changes of records that this VM has not
    std::set<std::string> requestedEngines; ///< whose whole records it has asked for
    std::uint64_t sentPrefix = 0; ///< last of the own log that its boot `sentBoot` was told

    int configFailures = 0; ///< reads of its configuration that failed, in a row
    Instant configRetryAt{}; ///< no further one before this

    PeerLeaseConfirmation leaseConfirmation;
    Instant loadFailedAt{}; ///< it did not answer when asked for a load
};

/** What this VM keeps of another one that it may forward calls to. */
struct ForwardPeer
{
    TargetPool pool;
    std::unordered_map<std::string, Instant>
        notBefore; ///< it takes no calls until then; by service
};

/** A load that a call of this VM has asked for. */
struct LoadInFlight
{
    explicit LoadInFlight(asio::io_context &context)
        : done(context)
    { }

    Signal done;
    int waiters = 1; ///< that wait for it
};

/** An engine that this VM orders. */
struct HeldEngine
{
    explicit HeldEngine(asio::io_context &context)
        : changed(context)
    { }

    AdapterScheduler scheduler;
    bool commandInFlight = false; ///< an order or report is under way
    Instant commandSince{}; ///< of the last one
    bool checkingLoads = false; ///< a report is read to see whether loads are done
    Instant retryAt{}; ///< no order or report before this
    int refusals = 0; ///< in a row
    LoadQueue queue;
    Signal changed;
};

/** A target as it is told to other gateways. */
struct SharedTarget
{
    TargetEntry entry;
    bool gone = false;
    bool lapsed = false; ///< its entry has expired in an outage; it may be listed again

    auto operator<=>(const SharedTarget &) const = default;
};

/** Another VM as it is told to other gateways. */
struct SharedVm
{
    std::string name;
    std::string zone;
    double capacity = 0;

    auto operator<=>(const SharedVm &) const = default;
};

/** Another VM's calls at an engine that this VM orders. */
struct ReportedRuns
{
    std::map<std::string, int> byAdapter; ///< empty: it has none any more
    std::uint64_t boot = 0; ///< of the VM
    std::uint64_t sequence = 0; ///< of the note; an older one that arrives late is dropped
    Instant at{};

    auto operator<=>(const ReportedRuns &) const = default;
};

/** Evidence on calls, and whether this VM saw it itself. */
struct KnownEvidence
{
    CallEvidence evidence;
    bool own = false;

    auto operator<=>(const KnownEvidence &) const = default;
};

/** What this VM has learnt and passes on; readers ask for what changed since they last did. */
struct SharedState
{
    ChangeCounter counter;
    EngineLog engines;
    ChangeLog<std::string, SharedTarget> targets;
    ChangeLog<std::string, std::int64_t> adapterVersions; ///< in force, by adapter key
    ChangeLog<Endpoint, SharedVm> vms;
    ChangeLog<std::uint64_t, KnownEvidence> evidence; ///< by an id that its VM drew
};

/** Prefixes of prompts that engines have read, and what other VMs are told of them. */
struct SharedPrefixes
{
    PrefixIndex table;
    PrefixLog log;
};

/** Beginning of the name under which another zone as a whole reports; see UsageLedger. */
constexpr std::string_view zoneReporter = "zone ";

inline std::string zoneReporterName(const std::string &zone)
{
    return std::string(zoneReporter) + zone;
}

/** What the relay told last. */
struct RelayState
{
    Endpoint relay;
    Instant at{}; ///< zero: none is heard
    TargetUsages others; ///< calls of all VMs but those that this VM reports for
    int vms = 1; ///< all that are heard of, in all zones
    int linkedZonePeers = 0; ///< others of the zone that reach engines
    WorkspaceUses otherWorkspaces; ///< of all VMs in touch but those that this one reports for
    int reachableVms = 1; ///< that these are of, this VM and those it reports for among them
};

/** Whose whole list of targets this VM holds, to follow the changes of. */
struct ListSource
{
    Endpoint relay;
    std::uint64_t boot = 0; ///< of the relay; 0: this VM reads the list itself, or has none

    auto operator<=>(const ListSource &) const = default;
};

/** What is known of the prompts that engines still have to read; see PrefillReservation.h. */
struct PrefillCounts
{
    std::unordered_map<std::string, PrefillQueue> held; ///< of engines that this VM orders
    std::unordered_map<std::string, PrefillQueue> reported; ///< by the VMs that order the others
    std::map<Endpoint, Instant> unansweredAt; ///< VMs that did not answer, and when
};

/** A configuration that is being read from peers, part after part. */
struct ConfigDownload
{
    PartialDocument partial;
    PartSizing partSize;
    Endpoint source; ///< of the last part
    std::int64_t expected = 0; ///< version that a peer said `source` has, or is reading; 0: none
    bool redirectFailed = false; ///< a VM that this one was sent on to gave nothing
    bool decoding = false; ///< all has come
    Instant begunAt{};
    Instant lastProgressAt{}; ///< a part came last, or it was begun, or another source was taken
};

/** All state of one gateway. One thread. */
struct GatewayNode
{
    explicit GatewayNode(const GatewaySettings &settings);

    GatewaySettings settings;
    const PlatformPort *platform;
    CapacityWaiters capacityWaiters; ///< the context still destroys calls that wait here
    asio::io_context context;
    std::optional<asio::thread_pool> decoding; ///< one more thread, for long documents
    HttpClient http;
    Metrics metrics;
    std::mt19937_64 random;
    std::uint64_t boot = 0;

    std::shared_ptr<const RouteTable> routes; ///< never null
    DocumentCache config; ///< as others read it
    ConfigDownload configDownload;
    ConfigReaders configReaders;
    KeyTable keys; ///< of the configuration in force
    Confirmations confirmations;
    Signal confirmed; ///< a version was confirmed, or is in force
    std::unordered_map<KeyDigest, Instant, KeyDigestHash> unknownKeys; ///< when they came first
    int routesAwaited = 0; ///< calls that wait for a newer configuration to have their route
    int keysAwaited = 0; ///< calls that wait to learn whether their key is a new one
    std::unordered_map<std::string, UsageWindow> spending; ///< of own calls, by workspace
    FleetSize fleet;
    UsageSnapshotState spend;
    Signal configOffered; ///< a peer has a newer one
    SharedState shared;
    SharedPrefixes prefixes;
    TargetTable targetTable;
    std::unordered_map<std::string, std::unique_ptr<TargetRuntime>> targets;
    std::unordered_map<std::string, ServiceRetryBudget> retryBudgets; ///< by service

    ResumeState resuming;
    std::unordered_map<std::string, ServiceLinks> serviceLinks; ///< by service
    std::map<Endpoint, ForwardPeer> forwardPeers; ///< by where they take forwarded calls

    std::map<Endpoint, PeerState> peers;
    std::uint64_t reportSequence = 0;
    UsageLedger reported; ///< by VMs that report here, and by the relays of other zones
    RelayState relayState;
    ListSource listSource;
    /** Adapters in use at engines that this VM orders, by engine and by the VM that told. */
    std::unordered_map<std::string, std::map<Endpoint, ReportedRuns>> reportedRuns;
    std::set<std::string> runsChanged; ///< engines whose holder is to be told of own calls
    Signal runsDue;
    std::uint64_t usageSequence = 0;
    std::map<std::string, Endpoint> zoneRelays; ///< of other zones, as their VMs say
    std::set<std::string> reportedEngines; ///< held by VMs that report here
    bool relaying = false; ///< this VM reads the store for its zone
    bool vmListRead = false; ///< the store's list of VMs was read
    std::int64_t bootCount = 0; ///< of this VM, by the store; 0: not known yet
    int recentVms = 1; ///< most VMs heard of lately
    Instant recentVmsAt{};
    GatewayPeers peerLinks;

    PartitionLease lease;
    Instant bootedAt;
    bool mayHoldLease = false; ///< joins those that order engines of the zone
    Instant joinedLeaseAt{}; ///< when it first did; zero: not yet
    bool leaseYielded = false; ///< to mates, until this VM reaches the engines again
    bool leaseRenewed = false; ///< the last renewal was granted
    bool renewalFailing = false;
    bool heldBefore = false; ///< a boot before this one noted that it orders engines
    std::vector<PartitionRelease> peerReleases; ///< of other VMs of the zone, told on
    bool recordingClaims = false; ///< notes in the store are being read or added
    Instant claimRetryAt{}; ///< no further attempt before this
    std::unordered_map<std::string, std::unique_ptr<HeldEngine>> heldEngines;
    /** By engine and adapter. */
    std::map<std::pair<std::string, std::string>, std::shared_ptr<LoadInFlight>> loadsInFlight;
    LoadEstimator loadEstimator;
    std::unordered_map<std::string, PrefillRate> prefillPaces; ///< by service
    PrefillCounts prefill;
    HarmfulCalls harmful; ///< follows from the evidence
    bool evidenceChanged = false; ///< since it was judged last
    std::size_t evidenceCalls = 0; ///< named in all evidence
    std::deque<Instant> modelLoads; ///< ordered by this gateway lately

    Signal started; ///< a first configuration, or a first list of targets, is there
    Signal engineChanged; ///< residents or loads of engines changed
    Signal callStartedWaiting; ///< a call has begun to wait for a place
    Signal reportDue; ///< something that the relay should hear before the next regular report
    bool storeUp = false;
    Instant storeFailedAt{}; ///< last attempt to read the store that failed; zero: none
    Instant storeFailingSince{}; ///< the first that failed since it last answered; zero: none
    Instant storeReachedAt{}; ///< the store answered this VM last; zero: never
    bool shuttingDown = false;
    bool leftLeaseGroup = false; ///< it has left those that order engines, and does not come back
    bool stopped = false;
    int callsInFlight = 0;
    int forwardedInFlight = 0; ///< of these, that other VMs forwarded
    int connections = 0;
};

/** State of a target; made on first use. */
TargetRuntime &runtimeOf(GatewayNode &node, const std::string &target);

/** The listed entry of a target; null if it is not listed. */
const TargetEntry *entryOf(const GatewayNode &node, const std::string &target);

/** Sets what an engine holds, and remembers what it held. */
void setResident(GatewayNode &node, const std::string &target, ResidentVersions resident);

/** Gateways heard of lately, this one among them; counts those that fell silent for a while on. */
int liveGateways(const GatewayNode &node);

/** The fewest that liveGateways() may say from now on, by what is heard now. */
void updateLiveGateways(GatewayNode &node, Instant now);

/** The version of an adapter that is in force; 0 if none was named. */
std::int64_t versionInForce(const GatewayNode &node, const std::string &adapter);

/** When the configuration in force was last known to be the newest; nothing: never. */
std::optional<Instant> configConfirmedAt(const GatewayNode &node);

/** The store has answered this VM, or has failed to. */
void recordStoreAnswer(GatewayNode &node, bool answered, Instant now);

/** What this VM tells others of its own standing. */
RelayRank ownRank(const GatewayNode &node);

/** True if this VM knows no configuration or no targets yet. */
bool isStarting(const GatewayNode &node) noexcept;

/** When the target will take calls of this VM again, by its own word; zero: it does now. */
Instant pausedUntil(const GatewayNode &node, const std::string &target, Instant now);

/** Targets of a service that may take work, whether they take calls of this VM now or not. */
std::vector<const TargetRecord *> targetsOf(const GatewayNode &node, const std::string &service);

/** Load of all gateways' calls at one target; without the adapters. */
TargetUsage totalLoad(const GatewayNode &node, const std::string &target);

/** The same of all other gateways' calls, and how they ended lately. */
TargetUsage othersUsageAt(const GatewayNode &node, const std::string &target);

bool isReady(const GatewayNode &node) noexcept;

/** Sleeps; returns early if the gateway stops. */
asio::awaitable<void> pauseFor(GatewayNode &node, Duration duration);

/** Runs a coroutine of its own; an exception that ends it is logged, never lost. */
void spawn(GatewayNode &node, std::string_view what, asio::awaitable<void> task);

} // namespace monsoonbay
