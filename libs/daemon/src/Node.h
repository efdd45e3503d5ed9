#pragma once

#include <atomic>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include <boost/asio/io_context.hpp>

#include "Guarded.h"
#include "Waiters.h"
#include "config/Acceptance.h"
#include "config/Settings.h"
#include "membership/Membership.h"
#include "observe/Metrics.h"
#include "observe/Traces.h"
#include "ownership/Ownership.h"
#include "requests/Admission.h"
#include "requests/KeyRecords.h"
#include "requests/RequestLifecycle.h"
#include "residency/Placement.h"
#include "residency/PlacementPolicy.h"
#include "residency/SlotTable.h"
#include "routing/ResidentDirectory.h"
#include "transport/HttpClient.h"
#include "transport/PeerNetwork.h"

namespace monsoonbay {

/** A target: its address from the VM list, its declaration from the manifest. */
struct TargetInfo
{
    TargetId id;
    std::string zone;
    Endpoint endpoint;
    TargetDeclaration declaration;
    bool leaving = false;
};

/** All targets that are both listed and declared; replaced as a whole, never changed. */
struct TargetMap
{
    std::unordered_map<TargetId, TargetInfo> targets;
};

/** One VM of the platform's list. */
struct ListedVm
{
    std::string name;
    std::string kind; ///< entry, model or app
    std::string zone;
    Endpoint endpoint;
    bool leaving = false;

    auto operator<=>(const ListedVm &) const = default;
};

/** An engine that this VM owns, or owned; its slots under their own lock. */
struct OwnedEngine
{
    Guarded<SlotTable> table;
    std::atomic<std::uint64_t> statusRevision{0};
    std::atomic<std::uint64_t> reportedStatusHash{0};
    std::atomic<std::int64_t> statusReportedAt{0};
};

/** Counts of one adapter's requests since the last report to the coordinator. */
struct DemandCount
{
    int requests = 0;
    int hits = 0;
};

/** Records and verdicts that the manifest reader keeps to serve peers and operators. */
struct ManifestHistory
{
    std::deque<ManifestRecord> records;
    std::uint64_t completeAfter = 0; ///< every manifest record after this offset is in `records`
    std::deque<JudgedRecord> judged;
    std::uint64_t lastSnapshotAt = 0; ///< offset of the newest snapshot record seen
};

/** The VM that coordinates load permits, by the current membership. */
struct CoordinatorView
{
    VmId coordinator;
    VmId deputy; ///< receives the demand too, so that a change of coordinator loses none
};

/** Messages to one peer that wait to be sent. */
struct Outbox
{
    v1::PeerNews news;
    bool filled = false;
    bool sending = false;
};

/** All state of one entry VM. Every part has its own lock; none is held across I/O. */
struct Node
{
    explicit Node(const Settings &settings);

    Settings settings;
    VmId self;
    std::uint64_t incarnation;
    Instant startedAt;
    asio::io_context context;
    HttpClient http;
    PeerClient peers;
    Metrics metrics;
    SpanQueue spans;
    const PlacementPolicy *policy;

    Guarded<AcceptedManifest> manifest;
    Guarded<std::shared_ptr<const Manifest>> inForce;
    Guarded<ManifestHistory> history;
    std::atomic<std::uint64_t> manifestOffset{0};

    Guarded<std::vector<ListedVm>> listed;
    Guarded<std::shared_ptr<const TargetMap>> targets;
    Guarded<std::unordered_set<TargetId>> drained; ///< by operators

    Guarded<MembershipState> membership;
    Guarded<CoordinatorView> coordinator;
    Guarded<OwnershipState> ownership;
    Guarded<std::unordered_map<TargetId, std::shared_ptr<OwnedEngine>>> engines;
    ResidentDirectory directory;
    Guarded<PlacementState> placement;
    Waiters waiters;
    Guarded<std::unordered_map<AdapterId, DemandCount>> demand;
    Guarded<AdmissionState> admission;
    Guarded<RetryBudget> retries;
    Guarded<KeyRecords> keys;
    Guarded<std::unordered_map<VmId, Outbox>> outboxes;

    std::atomic<bool> shuttingDown{false};
    std::atomic<bool> stopped{false}; ///< loops end
    std::atomic<bool> logUp{false};
    std::atomic<std::uint64_t> ownerRuns{0};
    std::atomic<std::uint64_t> callersInFlight{0};
    std::atomic<std::uint64_t> nextRequest{1};
};

/** The manifest in force; never null, empty before the first is accepted. */
std::shared_ptr<const Manifest> manifestInForce(const Node &node);

std::shared_ptr<const TargetMap> targetsOf(const Node &node);
std::optional<TargetInfo> findTarget(const Node &node, TargetId target);
std::shared_ptr<OwnedEngine> engineOf(Node &node, TargetId target);

/** Peer address of an entry VM that counts as alive. */
std::optional<Endpoint> peerEndpoint(const Node &node, VmId vm);

/** Ids of the entry VMs that count as alive, this one among them. */
std::vector<VmId> aliveVms(const Node &node);

bool isReady(const Node &node);

/**
 * Joins the VM list with the manifest and the operators' drains; updates ownership, directory and
 * placement by the result.
 */
void refreshTargets(Node &node);

/** True if a trace collector is configured; without one no spans are recorded. */
bool isTraced(const Node &node);

/** Sends spans to the collector once a second. */
asio::awaitable<void> traceLoop(Node &node);

/** Sleeps on the calling coroutine's executor. */
asio::awaitable<void> pause(Duration duration);

} // namespace monsoonbay
