#include "StateUpdates.h"

#include <algorithm>
#include <set>
#include <vector>

#include "AnswerHints.h"
#include "EngineCommands.h"
#include "Feeds.h"
#include "HarmfulCallTracking.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "SharedEngines.h"
#include "ZonePeers.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

/**
 * Maximum number of changes in one answer. With 12,000 engines of 8 adapters each, a change takes
 * 0.13 KB on average. An engine with 36 adapters takes 0.9 KB, so an answer has 270 KB at most,
 * which take 0.2 s over 10 Mbit/s.
 */
constexpr std::size_t maxChangesPerAnswer = 300;

/** Maximum time that an answer is in transit; its content may be older by this. */
constexpr Duration maxAnswerTransit = std::chrono::milliseconds(500);

/** The last of the changes after `seen` that fits into one answer. */
std::uint64_t lastChangeToSend(const SharedState &state, std::uint64_t seen)
{
    std::vector<std::uint64_t> numbers;
    state.engines.numbersSince(seen, numbers);
    state.targets.numbersSince(seen, numbers);
    state.adapterVersions.numbersSince(seen, numbers);
    state.vms.numbersSince(seen, numbers);
    state.evidence.numbersSince(seen, numbers);
    if (numbers.size() <= maxChangesPerAnswer)
        return state.counter.last;
    const auto last = numbers.begin() + (maxChangesPerAnswer - 1);
    std::nth_element(numbers.begin(), last, numbers.end());
    return *last;
}

void addListAge(const GatewayNode &node, v1::Digest &digest)
{
    const Instant now = BootClock::now();
    // A receiver that has only a part of the list must not take it for the whole list.
    const bool whole = !digest.complete() || !digest.more();
    digest.set_list_known(whole && node.targetTable.lastReadAt != Instant{});
    digest.set_list_age_ms(toMillis(now - node.targetTable.lastReadAt));
    if (node.targetTable.failingSince != Instant{})
        digest.set_list_failing_ms(toMillis(now - node.targetTable.failingSince));
}

void applyVms(GatewayNode &node, const v1::Digest &digest)
{
    for (const v1::Vm &vm : digest.known())
        addPeer(node, decodeEndpoint(vm), decodeVm(vm));
}

Instant listReadAt(const v1::Digest &digest)
{
    return BootClock::now() - std::chrono::milliseconds(digest.list_age_ms());
}

// A relay that has just come back may not have read a target yet that this VM has read itself.
bool hasNewerList(const GatewayNode &node, const v1::Digest &digest)
{
    return digest.list_known()
        && listReadAt(digest) > node.targetTable.lastOwnReadAt + maxAnswerTransit;
}

void applyListAge(GatewayNode &node, const v1::Digest &digest)
{
    if (!digest.list_known())
        return;
    recordPeerListRead(node.targetTable, listReadAt(digest),
                       std::chrono::milliseconds(digest.list_failing_ms()), BootClock::now());
}

// A relay reads the list itself. It applies another VM's list only while it cannot read the store,
// and that a target leaves in any case.
void applyTargets(GatewayNode &node, PeerState &peer, const v1::Digest &digest, bool ownRelay)
{
    const bool appliesList = !node.relaying || !node.storeUp;
    std::vector<TargetEntry> listed;
    for (const v1::Target &message : digest.targets()) {
        SharedTarget sharedTarget = decodeTarget(message);
        if (sharedTarget.gone) {
            peer.fullSyncTargets.erase(message.id());
            if (appliesList)
                dropTargetByPeer(node, message.id(), ownRelay);
            continue;
        }
        if (sharedTarget.entry.leaving)
            markLeavingByPeer(node, sharedTarget.entry.id, sharedTarget.entry.startTime);
        if (digest.complete())
            peer.fullSyncTargets.insert(sharedTarget.entry.id);
        // This VM has dropped the target already, and the peer only waits whether it comes back.
        const bool isDropped =
            sharedTarget.expired && wasRemoved(node.targetTable, sharedTarget.entry.id);
        if (appliesList && !isDropped)
            listed.push_back(std::move(sharedTarget.entry));
    }
    if (!appliesList)
        return;
    applyPeerTargets(node, std::move(listed));
    const bool allReceived = digest.complete() && !digest.more();
    if (allReceived && ownRelay && hasNewerList(node, digest)) {
        dropTargetsUnlistedByPeer(node, peer.fullSyncTargets);
        node.listSource = {peer.endpoint, digest.from().boot()};
    }
    applyListAge(node, digest);
    node.started.notifyAll();
}

} // namespace

// The number of changes is limited because an answer with all of them (3.3 MB for 12,000 engines)
// takes longer over a slow link than an exchange may take, and would be dropped and restarted with
// each exchange.
void addStateUpdates(const GatewayNode &node, const v1::Report &report, bool zonePeer,
                     v1::Digest &digest)
{
    const bool isFirstSync = report.known_boot() != node.boot;
    const std::uint64_t seen = isFirstSync ? 0 : report.known_change();
    const std::uint64_t through = lastChangeToSend(node.shared, seen);
    digest.set_complete(isFirstSync || report.in_whole());
    digest.set_change(through);
    digest.set_more(through < node.shared.counter.last);
    // A receiver of the full state has not received each engine that changed up to `seen`.
    const std::uint64_t known = digest.complete() ? 0 : seen;
    std::set<std::string> sentEngines;
    const auto addEngine = [&](const std::string &target, std::uint64_t received) {
        const bool wanted = zonePeer || zoneOfTarget(node, target) == node.settings.zone;
        if (wanted && sentEngines.insert(target).second)
            encodeChange(target, node.shared.engines.changeSince(target, received),
                         *digest.add_engines());
    };
    for (const std::string &target : report.engines_wanted()) {
        if (node.shared.engines.find(target) != nullptr)
            addEngine(target, 0);
    }
    node.shared.engines.between(
        seen, through,
        [&](const std::string &target, const EngineRecord &) { addEngine(target, known); });
    node.shared.vms.between(seen, through, [&](const Endpoint &known, const SharedVm &sharedVm) {
        encodeVm(sharedVm.name, known, 0, sharedVm, *digest.add_known());
    });
    node.shared.adapterVersions.between(seen, through,
                                        [&](const std::string &adapter, std::int64_t version) {
                                            v1::AdapterVersion *message = digest.add_versions();
                                            message->set_adapter(adapter);
                                            message->set_version(version);
                                        });
    node.shared.targets.between(seen, through,
                                [&](const std::string &target, const SharedTarget &sharedTarget) {
                                    const bool neverSent = isFirstSync && sharedTarget.gone;
                                    if (!neverSent)
                                        encodeTarget(target, sharedTarget, *digest.add_targets());
                                });
    const Instant now = BootClock::now();
    node.shared.evidence.between(seen, through, [&](std::uint64_t id, const KnownEvidence &known) {
        encodeEvidence(id, known.evidence, now, *digest.add_evidence());
    });
    addListAge(node, digest);
}

namespace {

// Requests the full state from a new relay. What it sent before it was the relay was not applied as
// the whole list, and this VM may have learnt of targets from another VM that this relay never
// knew: it would never report them as gone.
void restartFullSync(PeerState &peer)
{
    peer.seenBoot = 0;
    peer.seenChange = 0;
    peer.hasMoreUpdates = true;
    peer.fullSyncRunning = false;
    peer.fullSyncTargets.clear();
}

} // namespace

void applyStateUpdates(GatewayNode &node, PeerState &peer, const v1::Digest &digest, bool ownRelay)
{
    if (peer.seenBoot != digest.from().boot() || !digest.complete())
        peer.fullSyncTargets.clear();
    for (const v1::AdapterVersion &message : digest.versions())
        applyAdapterVersion(node, message.adapter(), message.version());
    applyTargets(node, peer, digest, ownRelay);
    // This digest answers a report that requested these.
    peer.missingEngines.clear();
    for (const v1::EngineState &state : digest.engines())
        applyEngineChange(node, peer.missingEngines, state.target(), decodeChange(state));
    const auto &asked = digest.engines_wanted();
    peer.requestedEngines = std::set<std::string>(asked.begin(), asked.end());
    peer.seenBoot = digest.from().boot();
    peer.seenChange = digest.change();
    peer.hasMoreUpdates = digest.more();
    peer.fullSyncRunning = digest.complete() && digest.more();
    if (!peer.fullSyncRunning)
        peer.fullSyncTargets.clear();
    const ListSource source{peer.endpoint, digest.from().boot()};
    if (ownRelay && hasNewerList(node, digest) && node.listSource != source)
        restartFullSync(peer);
    applyVms(node, digest);
    applyPeerEvidence(node, digest.evidence());
}

void applyPeerEvidence(GatewayNode &node,
                       const google::protobuf::RepeatedPtrField<v1::CallEvidence> &messages)
{
    const Instant now = BootClock::now();
    for (const v1::CallEvidence &item : messages)
        addReceivedEvidence(node, item.id(), decodeEvidence(item, now));
    evaluateEvidence(node);
}

} // namespace monsoonbay
