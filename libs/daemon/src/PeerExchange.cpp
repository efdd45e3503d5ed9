#include "PeerExchange.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>

#include "Coordinator.h"
#include "ManifestReader.h"
#include "OwnerLoop.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

constexpr Duration membershipTick = std::chrono::milliseconds(50);
constexpr Duration updateTimeout = std::chrono::milliseconds(1000);
constexpr int maxGossipedMembers = 64;

v1::MemberNews toMessage(const Member &member)
{
    v1::MemberNews news;
    news.set_vm(member.vm.value);
    news.set_name(member.name);
    news.set_zone(member.zone);
    news.set_address(member.address);
    news.set_port(member.port);
    news.set_incarnation(member.incarnation);
    news.set_state(static_cast<std::uint32_t>(member.state));
    return news;
}

Member fromMessage(const v1::MemberNews &news)
{
    Member member;
    member.vm = VmId{news.vm()};
    member.name = news.name();
    member.zone = news.zone();
    member.address = news.address();
    member.port = static_cast<std::uint16_t>(news.port());
    member.incarnation = news.incarnation();
    member.state = static_cast<MemberState>(std::min(news.state(), 3U));
    return member;
}

template <typename Repeated> std::vector<Member> membersOf(const Repeated &list)
{
    std::vector<Member> members;
    for (const v1::MemberNews &news : list) {
        if (members.size() >= maxGossipedMembers)
            break;
        members.push_back(fromMessage(news));
    }
    return members;
}

void fillHeader(Node &node, v1::PeerNews &news)
{
    news.set_vm(node.settings.vm);
    news.set_zone(node.settings.zone);
    const std::vector<Member> gossip = node.membership.with([&](MembershipState &state) {
        news.set_incarnation(state.self.incarnation);
        news.set_leaving(state.self.state == MemberState::Left);
        return nextGossip(state);
    });
    for (const Member &member : gossip)
        *news.add_members() = toMessage(member);
    const ManifestMark mark =
        node.manifest.with([](const AcceptedManifest &state) { return state.mark; });
    news.set_manifest_offset(mark.offset);
    news.set_manifest_digest(mark.digest);
    const FencingToken highest =
        node.ownership.with([](const OwnershipState &state) { return state.highest; });
    news.set_highest_token(highest.offset);
    news.set_highest_local(highest.local);
}

void applyReply(Node &node, VmId peer, const v1::PeerNewsReply &reply)
{
    const std::vector<Member> gossip = membersOf(reply.members());
    const Instant now = BootClock::now();
    node.membership.with([&](MembershipState &state) {
        recordMessage(state, peer, reply.incarnation(), now);
        recordExchange(state, peer, now);
        applyGossip(state, gossip, now);
    });
    fetchIfNewer(node, peer, reply.manifest_offset());
}

asio::awaitable<bool> sendNews(Node &node, VmId to, v1::PeerNews news, Duration timeout)
{
    const std::optional<Endpoint> endpoint = peerEndpoint(node, to);
    if (!endpoint)
        co_return false;
    fillHeader(node, news);
    node.metrics.add(Counter::PeerMessagesSent);
    node.metrics.add(Counter::PeerBytesSent, news.ByteSizeLong());
    const PeerResult<v1::PeerNewsReply> result =
        co_await node.peers.tell(*endpoint, std::move(news), timeout);
    if (!result.ok)
        co_return false;
    applyReply(node, to, result.reply);
    co_return true;
}

// One message at a time to each peer: what is posted meanwhile is merged into the next, so that a
// slow peer gets fewer and larger messages instead of a growing queue.
asio::awaitable<void> drainOutbox(Node &node, VmId to)
{
    while (true) {
        const std::optional<v1::PeerNews> news =
            node.outboxes.with([to](auto &outboxes) -> std::optional<v1::PeerNews> {
                Outbox &outbox = outboxes[to];
                if (!outbox.filled) {
                    outbox.sending = false;
                    return std::nullopt;
                }
                outbox.filled = false;
                v1::PeerNews next;
                next.Swap(&outbox.news);
                return next;
            });
        if (!news || node.stopped)
            co_return;
        const bool sent = co_await sendNews(node, to, *news, updateTimeout);
        if (sent)
            continue;
        // A load command that was not delivered would keep its permit until the load times out, and
        // nothing would be loaded meanwhile.
        for (const v1::LoadOrder &order : news->orders())
            reportLoadResult(node, order.permit(), order, LoadOutcome::Declined);
    }
}

asio::awaitable<void> probeDirectly(Node &node, VmId to)
{
    const Duration timeout = node.membership.with(
        [](const MembershipState &state) { return state.config.probeTimeout; });
    v1::PeerNews probe;
    const bool answered = co_await sendNews(node, to, std::move(probe), timeout * 2);
    node.membership.with(
        [&](MembershipState &state) { recordProbeResult(state, to, answered, BootClock::now()); });
}

asio::awaitable<void> probeThrough(Node &node, VmId via, VmId to)
{
    const std::optional<Endpoint> endpoint = peerEndpoint(node, via);
    if (!endpoint)
        co_return;
    v1::PeerNews news;
    fillHeader(node, news);
    news.set_indirect_probe(to.value);
    const PeerResult<v1::PeerNewsReply> result =
        co_await node.peers.tell(*endpoint, std::move(news), updateTimeout);
    if (!result.ok)
        co_return;
    applyReply(node, via, result.reply);
    node.membership.with([&](MembershipState &state) {
        recordProbeResult(state, to, result.reply.probe_answered(), BootClock::now());
    });
}

// The zone's peers confirm an unfenced target's lease only if every one of them answered this VM: a
// peer known through others, or one whose messages arrive here but that gets none from here, does
// not know of this VM's claim.
std::optional<Instant> zonePeersAnsweredAt(const MembershipState &state, Instant now)
{
    Instant oldest = now;
    for (const MembershipState::Known &known : state.others) {
        const bool zonePeer = known.member.zone == state.self.zone
            && known.member.state != MemberState::Left && known.member.incarnation > 0;
        if (zonePeer)
            oldest = std::min(oldest, known.exchangedAt);
    }
    return oldest;
}

void updateOwnership(Node &node, const std::vector<Member> &alive,
                     std::optional<Instant> peersAnsweredAt)
{
    std::vector<OwnerCandidate> candidates;
    for (const Member &member : alive)
        candidates.push_back(OwnerCandidate{member.vm, member.zone});
    node.ownership.with([&](OwnershipState &state) {
        setCandidates(state, candidates);
        if (peersAnsweredAt)
            recordZonePeersContact(state, *peersAnsweredAt);
    });
}

void logChanges(const std::vector<Member> &before, const std::vector<Member> &after)
{
    const auto missing = [](const Member &member, const std::vector<Member> &list) {
        return std::none_of(list.begin(), list.end(),
                            [&member](const Member &other) { return other.vm == member.vm; });
    };
    for (const Member &member : after) {
        if (missing(member, before))
            logEvent(EventId::MemberAlive, {{"member", member.name}, {"zone", member.zone}});
    }
    for (const Member &member : before) {
        if (missing(member, after))
            logEvent(EventId::MemberGone, {{"member", member.name}, {"zone", member.zone}});
    }
}

void applyAliveChange(Node &node, const std::vector<Member> &alive)
{
    std::vector<VmId> vms;
    for (const Member &member : alive)
        vms.push_back(member.vm);
    const Instant now = BootClock::now();
    node.keys.with([&](KeyRecords &keys) {
        updateAliveVms(keys, vms, now);
        expireKeys(keys, now);
    });
    updateCoordinator(node, alive);
}

} // namespace

void postUpdates(Node &node, VmId to, const std::function<void(v1::PeerNews &)> &add)
{
    const bool start = node.outboxes.with([&](auto &outboxes) {
        Outbox &outbox = outboxes[to];
        add(outbox.news);
        outbox.filled = true;
        const bool idle = !outbox.sending;
        outbox.sending = true;
        return idle;
    });
    if (start)
        asio::co_spawn(asio::make_strand(node.context), drainOutbox(node, to), asio::detached);
}

void postToAll(Node &node, const std::function<void(v1::PeerNews &)> &add)
{
    for (const VmId vm : aliveVms(node)) {
        if (vm != node.self)
            postUpdates(node, vm, add);
    }
}

asio::awaitable<v1::PeerNewsReply> takeNews(Node &node, v1::PeerNews news)
{
    const VmId from = VmId::of(news.vm());
    const Instant now = BootClock::now();
    const std::vector<Member> gossip = membersOf(news.members());
    node.membership.with([&](MembershipState &state) {
        applyGossip(state, gossip, now);
        recordMessage(state, from, news.incarnation(), now);
    });
    node.ownership.with([&](OwnershipState &state) {
        const FencingToken peerHighest{news.highest_token(), news.highest_local()};
        state.highest = std::max(state.highest, peerHighest);
    });
    for (const v1::TargetNews &target : news.targets())
        applyTargetStatus(node, target);
    applyCoordinationUpdates(node, from, news);
    fetchIfNewer(node, from, news.manifest_offset());

    v1::PeerNewsReply reply;
    if (news.indirect_probe() != 0) {
        v1::PeerNews probe;
        const VmId to{news.indirect_probe()};
        const bool answered =
            co_await sendNews(node, to, std::move(probe), std::chrono::milliseconds(300));
        reply.set_probe_answered(answered);
    }
    const std::vector<Member> answerGossip = node.membership.with([&](MembershipState &state) {
        reply.set_incarnation(state.self.incarnation);
        reply.set_leaving(state.self.state == MemberState::Left);
        return nextGossip(state);
    });
    for (const Member &member : answerGossip)
        *reply.add_members() = toMessage(member);
    const ManifestMark mark =
        node.manifest.with([](const AcceptedManifest &state) { return state.mark; });
    reply.set_manifest_offset(mark.offset);
    reply.set_manifest_digest(mark.digest);
    co_return reply;
}

asio::awaitable<void> membershipLoop(Node &node)
{
    std::vector<Member> before;
    bool first = true;
    while (!node.stopped) {
        const Instant now = BootClock::now();
        std::vector<Member> alive;
        std::optional<Instant> peersAnsweredAt;
        const std::vector<Probe> probes = node.membership.with([&](MembershipState &state) {
            std::vector<Probe> due = tick(state, now);
            alive = aliveMembers(state);
            peersAnsweredAt = zonePeersAnsweredAt(state, now);
            return due;
        });
        updateOwnership(node, alive, peersAnsweredAt);
        const bool changed = first
            || !std::equal(alive.begin(), alive.end(), before.begin(), before.end(),
                           [](const Member &a, const Member &b) { return a.vm == b.vm; });
        if (changed) {
            logChanges(before, alive);
            applyAliveChange(node, alive);
            before = alive;
            first = false;
        }
        for (const Probe &probe : probes) {
            auto call = probe.via.value == 0 ? probeDirectly(node, probe.to)
                                             : probeThrough(node, probe.via, probe.to);
            asio::co_spawn(asio::make_strand(node.context), std::move(call), asio::detached);
        }
        co_await pause(membershipTick);
    }
}

v1::RecordReply takeRecord(Node &node, const v1::RecordRequest &request)
{
    const KeyRequest key{stableHash(request.key(), stableHash(request.service())),
                         request.fingerprint(), stableHash(request.request_id())};
    const Instant now = BootClock::now();
    v1::RecordReply reply;
    node.keys.with([&](KeyRecords &keys) {
        if (request.action() == v1::RecordRequest::RELEASE) {
            releaseKey(keys, key);
            return;
        }
        if (request.action() == v1::RecordRequest::COMPLETE) {
            const StoredAnswer answer{static_cast<ErrorKind>(request.kind()), request.status(),
                                      request.content_type(), request.answer(), true};
            completeKey(keys, key, answer, now);
            return;
        }
        const KeyReply held = reserveKey(keys, key, now);
        reply.set_state(static_cast<v1::RecordReply::State>(held.state));
        reply.set_knows(held.knows);
        reply.set_status(held.answer.status);
        reply.set_content_type(held.answer.contentType);
        reply.set_answer(held.answer.body);
        reply.set_kind(static_cast<int>(held.answer.kind));
        reply.set_body_kept(held.answer.bodyStored);
    });
    return reply;
}

v1::FetchManifestReply serveManifest(Node &node, const v1::FetchManifestRequest &request)
{
    v1::FetchManifestReply reply;
    const AcceptedManifest state =
        node.manifest.with([](const AcceptedManifest &held) { return held; });
    reply.set_read_through(state.readThrough);
    if (!state.based || state.readThrough <= request.read_through())
        return reply;
    const bool complete = node.history.with([&](const ManifestHistory &history) {
        // A VM that has evaluated no record has no base to apply records to, however complete.
        if (request.read_through() == 0 || request.read_through() < history.completeAfter)
            return false;
        for (const ManifestRecord &record : history.records) {
            if (record.offset <= request.read_through())
                continue;
            v1::ManifestRecord *added = reply.add_records();
            added->set_offset(record.offset);
            added->set_body(record.body);
        }
        return true;
    });
    if (!complete)
        reply.set_snapshot(writeSnapshot(state));
    return reply;
}

} // namespace monsoonbay
