#pragma once

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "GatewayPeers.h"
#include "Signal.h"
#include "TargetPool.h"
#include "gateway/GatewaySettings.h"
#include "gateway/PlatformPort.h"
#include "observe/Metrics.h"
#include "serving/EngineBoard.h"
#include "serving/HolderLease.h"
#include "serving/OrderDesk.h"
#include "serving/ServiceRetryBudget.h"
#include "serving/ServingConfig.h"
#include "serving/TargetBook.h"
#include "serving/TargetHealth.h"
#include "transport/HttpClient.h"

namespace monsoonbay {

/** What calls take of a target: those of this VM, or those of a peer. */
struct TargetUse
{
    double waitingTokens = 0; ///< of calls without a first event
    double heldTokens = 0;
    int runs = 0;
    std::map<std::string, int> adapterRuns;

    bool operator==(const TargetUse &) const = default;
};

/** State of one target at this VM, beside what the platform's list says. */
struct TargetRuntime
{
    std::uint64_t hash = 0;
    TargetHealth health;
    TargetPool pool;
    TargetUse own;
    std::unordered_map<std::string, std::int64_t> resident; ///< version by adapter key
    std::list<std::string> warm; ///< adapters that it held lately, newest first
    std::set<std::string> models; ///< base models that are there
    std::unordered_set<std::string> cachedParts; ///< of prompts, by adapter and part
    Instant residentTold{}; ///< last word of the VM that orders this engine
    int idleSlots = 0; ///< by that word
};

/** Another gateway. */
struct PeerState
{
    std::string name;
    Endpoint endpoint;
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0; ///< of the newest news
    Instant heardAt{}; ///< zero: never
    Instant addedAt{};
    bool stopping = false;
    std::string zone; ///< empty: not known
    std::int64_t leaseGeneration = 0;
    bool storeAway = false;
    bool telling = false; ///< a message to it is under way
    Instant toldAt{}; ///< when the last message to it was begun
    std::int64_t configVersion = 0;
    std::unordered_map<std::string, TargetUse> uses; ///< by target id
    std::unordered_set<std::string> held; ///< engines that it may order
    int loads = 0; ///< under way at those engines
};

/** An engine that this VM orders. */
struct HeldDesk
{
    explicit HeldDesk(asio::io_context &context)
        : changed(context)
    { }

    OrderDesk desk;
    bool ordering = false; ///< an order or report is under way
    Instant retryAt{}; ///< no order or report before this
    int refusals = 0; ///< in a row
    Signal changed;
};

/** All state of one gateway. One thread. */
struct GatewayNode
{
    explicit GatewayNode(const GatewaySettings &settings);

    GatewaySettings settings;
    const PlatformPort *platform;
    asio::io_context context;
    HttpClient http;
    Metrics metrics;
    std::mt19937_64 random;
    std::uint64_t boot = 0;

    std::shared_ptr<const RouteTable> routes; ///< never null
    std::string configDocument;
    std::unordered_map<std::string, std::int64_t> adapterVersions; ///< in force, by adapter key
    TargetBook book;
    std::unordered_map<std::string, std::unique_ptr<TargetRuntime>> targets;
    std::unordered_map<std::string, ServiceRetryBudget> retryBudgets; ///< by service

    std::map<Endpoint, PeerState> peers;
    std::uint64_t newsSequence = 0;
    GatewayPeers links;

    HolderLease lease;
    Instant bootedAt;
    bool renewalFailing = false;
    std::int64_t orderedBefore = 0; ///< generation noted by the boot before; 0: none
    std::int64_t notedOrdering = 0; ///< generation noted by this boot
    std::unordered_map<std::string, std::unique_ptr<HeldDesk>> desks;
    std::map<std::pair<std::string, std::string>, std::shared_ptr<Signal>> loadsAsked;
    std::deque<Instant> modelLoads; ///< ordered by this gateway lately

    Signal engineChanged; ///< residents or loads of engines changed
    Signal newsDue;
    bool newsUrgent = false; ///< all peers are to hear of a change at once
    bool storeUp = false;
    bool shuttingDown = false;
    bool stopped = false;
    int callsInFlight = 0;
    int connections = 0;
};

/** State of a target; made on first use. */
TargetRuntime &runtimeOf(GatewayNode &node, const std::string &target);

/** Time between regular news to a gateway of another availability zone. */
Duration newsSpacing(const GatewayNode &node) noexcept;

/** True if this peer was heard lately. */
bool isLive(const GatewayNode &node, const PeerState &peer, Instant now) noexcept;

/** The listed entry of a target; null if it is not listed. */
const TargetEntry *entryOf(const GatewayNode &node, const std::string &target);

/** Sets what an engine holds, and remembers what it held. */
void noteResident(TargetRuntime &runtime, ResidentVersions resident);

/** Gateways heard lately, this one among them. */
int liveGateways(const GatewayNode &node);

/** Targets of a service that may take work. */
std::vector<const TargetRecord *> targetsOf(const GatewayNode &node, const std::string &service);

/** Calls of all gateways at one target. */
TargetUse totalUse(const GatewayNode &node, const std::string &target);

bool isReady(const GatewayNode &node) noexcept;

/** Sleeps; returns early if the gateway stops. */
asio::awaitable<void> pauseFor(GatewayNode &node, Duration duration);

/** Runs a coroutine of its own; an exception that ends it is logged, never lost. */
void spawn(GatewayNode &node, std::string_view what, asio::awaitable<void> task);

} // namespace monsoonbay
