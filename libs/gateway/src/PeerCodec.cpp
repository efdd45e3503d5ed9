#include "PeerCodec.h"

#include <algorithm>

#include "ClassDemandCodec.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace v1 = gateway::v1;

namespace {

constexpr int lastRank = 1000;

/** Longer times than this are not told of loads. */
constexpr Duration longestTold = std::chrono::seconds(60);

std::uint16_t portOf(std::uint32_t port)
{
    return static_cast<std::uint16_t>(port);
}

std::uint64_t wholeTokens(double tokens)
{
    return static_cast<std::uint64_t>(std::max(tokens, 0.0));
}

} // namespace

void encodeVm(const std::string &name, const Endpoint &endpoint, std::uint64_t boot,
              const SharedVm &fact, v1::Vm &vm)
{
    vm.set_name(name);
    vm.set_address(endpoint.address);
    vm.set_port(endpoint.port);
    vm.set_boot(boot);
    vm.set_zone(fact.zone);
    vm.set_capacity(fact.capacity);
}

void encodeSelf(const GatewayNode &node, v1::Vm &vm)
{
    const GatewaySettings &settings = node.settings;
    encodeVm(settings.vm, settings.peers, node.boot,
             {settings.vm, settings.zone, settings.capacity}, vm);
}

Endpoint decodeEndpoint(const v1::Vm &vm)
{
    return {vm.address(), portOf(vm.port())};
}

SharedVm decodeVm(const v1::Vm &vm)
{
    SharedVm fact;
    fact.name = vm.name();
    fact.zone = vm.zone();
    fact.capacity = vm.capacity();
    return fact;
}

void encodeEngine(const std::string &target, const EngineRecord &record, v1::EngineState &state)
{
    state.set_target(target);
    state.set_holder_address(record.holder.address);
    state.set_holder_port(record.holder.port);
    state.set_holder_live(record.holderLive);
    state.set_generation(record.revision.generation);
    state.set_starts(record.revision.starts);
    state.set_count(record.revision.count);
    for (const auto &[adapter, version] : record.resident) {
        v1::Slot *slot = state.add_slots();
        slot->set_adapter(adapter);
        slot->set_version(version);
    }
    for (const std::string &model : record.models)
        state.add_models(model);
    for (const std::string &adapter : record.incoming)
        state.add_incoming(adapter);
    state.set_loading(record.loading);
    state.set_born(record.startTime);
    state.set_fetch_ms(static_cast<std::uint32_t>(record.fetchMs));
    state.set_copy_ms(static_cast<std::uint32_t>(record.copyMs));
    state.set_copies_kept(static_cast<std::uint32_t>(record.copiesKept));
}

EngineRecord decodeEngine(const v1::EngineState &state)
{
    EngineRecord record;
    record.holder = {state.holder_address(), portOf(state.holder_port())};
    record.holderLive = state.holder_live();
    record.revision = {state.generation(), state.starts(), state.count()};
    for (const v1::Slot &slot : state.slots())
        record.resident[slot.adapter()] = slot.version();
    record.models = std::set<std::string>(state.models().begin(), state.models().end());
    record.incoming.insert(state.incoming().begin(), state.incoming().end());
    record.loading = state.loading();
    record.startTime = state.born();
    record.fetchMs = state.fetch_ms();
    record.copyMs = state.copy_ms();
    record.copiesKept = state.copies_kept();
    return record;
}

void encodeChange(const std::string &target, const EngineChange &change, v1::EngineState &state)
{
    encodeEngine(target, change.record, state);
    if (change.isSnapshot)
        return;
    state.set_changes_only(true);
    state.set_digest(change.digest);
    for (const std::string &adapter : change.removed)
        state.add_gone(adapter);
    if (!change.sameHeader)
        return;
    state.set_same_head(true);
    state.clear_holder_address();
    state.clear_holder_port();
    state.clear_models();
    state.clear_born();
}

EngineChange decodeChange(const v1::EngineState &state)
{
    EngineChange change;
    change.record = decodeEngine(state);
    change.isSnapshot = !state.changes_only();
    change.sameHeader = state.same_head();
    change.removed = std::vector<std::string>(state.gone().begin(), state.gone().end());
    change.digest = state.digest();
    return change;
}

void encodeRank(int rank, v1::LoadRequest &request)
{
    request.set_rank(static_cast<std::uint32_t>(std::clamp(rank, 0, lastRank)));
}

int decodeRank(const v1::LoadRequest &request)
{
    return static_cast<int>(std::min<std::uint32_t>(request.rank(), lastRank));
}

void encodeDecline(const LoadDecline &decline, v1::LoadReply &reply)
{
    // Rounded up: a holder that is asked a moment too early declines once more.
    const Duration told = std::clamp(decline.retryIn, Duration::zero(), longestTold);
    const auto millis = static_cast<std::uint32_t>(toMillis(told));
    const bool rest = told > std::chrono::milliseconds(millis);
    reply.set_retry_in_ms(millis + (rest ? 1 : 0));
    reply.set_reason(static_cast<v1::LoadDecline>(decline.reason));
}

LoadDecline decodeDecline(const v1::LoadReply &reply)
{
    LoadDecline decline;
    const auto longest = static_cast<std::uint64_t>(toMillis(longestTold));
    decline.retryIn =
        std::chrono::milliseconds(std::min(std::uint64_t{reply.retry_in_ms()}, longest));
    decline.reason = declineReasonOf(static_cast<std::uint64_t>(reply.reason()));
    return decline;
}

void encodeUse(const std::string &target, const TargetUsage &use, v1::EngineUse &told)
{
    told.set_target(target);
    told.set_waiting_tokens(wholeTokens(use.waitingTokens));
    told.set_held_tokens(wholeTokens(use.heldTokens));
    told.set_runs(use.runs);
    told.set_busy_slots(use.busySlots);
    told.set_faults(static_cast<std::uint32_t>(std::max(use.failures, 0)));
    told.set_goods(static_cast<std::uint32_t>(std::max(use.successes, 0)));
    told.set_quick_runs(use.shortObjectiveRuns);
}

void encodeWorkspaceUse(const std::string &workspace, const WorkspaceUse &use,
                        v1::WorkspaceUse &told)
{
    told.set_workspace(workspace);
    told.set_units(static_cast<std::uint64_t>(std::max<std::int64_t>(use.unitsInWindow, 0)));
    told.set_asked_per_second(
        static_cast<std::uint64_t>(std::max<std::int64_t>(use.requestedPerSecond, 0)));
    encodeClassDemand(use, told);
}

namespace {

/** False if what `told` says of classes is invalid. */
bool decodeInto(const v1::WorkspaceUse &told, WorkspaceUse &use)
{
    use.unitsInWindow =
        static_cast<std::int64_t>(std::min<std::uint64_t>(told.units(), maxReportedNumber));
    use.requestedPerSecond = static_cast<std::int64_t>(
        std::min<std::uint64_t>(told.asked_per_second(), maxReportedNumber));
    return decodeClassDemand(told, use);
}

} // namespace

WorkspaceUse decodeWorkspaceUse(const v1::WorkspaceUse &told)
{
    WorkspaceUse use;
    decodeInto(told, use);
    return use;
}

WorkspaceUses decodeWorkspaceUses(const google::protobuf::RepeatedPtrField<v1::WorkspaceUse> &all,
                                  const v1::Vm &from)
{
    WorkspaceUses uses;
    std::string invalid;
    for (const v1::WorkspaceUse &told : all) {
        WorkspaceUse use;
        if (!decodeInto(told, use))
            invalid = told.workspace();
        uses[told.workspace()] = use;
    }
    if (!invalid.empty())
        logEvent(EventId::UseMalformed, {{"peer", from.name()}, {"workspace", invalid}});
    return uses;
}

TargetUsage decodeUse(const v1::EngineUse &told)
{
    TargetUsage use;
    use.waitingTokens = static_cast<double>(told.waiting_tokens());
    use.heldTokens = static_cast<double>(told.held_tokens());
    use.runs = told.runs();
    use.busySlots = told.busy_slots();
    use.failures = static_cast<int>(told.faults());
    use.successes = static_cast<int>(told.goods());
    use.shortObjectiveRuns = told.quick_runs();
    return use;
}

void encodeTarget(const std::string &target, const SharedTarget &fact, v1::Target &told)
{
    told.set_id(target);
    told.set_gone(fact.gone);
    if (fact.gone)
        return;
    const TargetEntry &entry = fact.entry;
    told.set_service(entry.service);
    told.set_address(entry.endpoint.address);
    told.set_port(entry.endpoint.port);
    told.set_zone(entry.zone);
    told.set_slots(entry.slots);
    told.set_leaving(entry.leaving);
    told.set_born(entry.startTime);
    told.set_software(entry.software);
    told.set_lapsed(fact.lapsed);
    for (const std::string &model : entry.models)
        told.add_models(model);
    for (const HeldAdapter &held : entry.adapters) {
        v1::Slot *slot = told.add_adapters();
        slot->set_adapter(held.adapter);
        slot->set_version(held.version);
    }
}

SharedTarget decodeTarget(const v1::Target &told)
{
    SharedTarget fact;
    fact.gone = told.gone();
    fact.lapsed = told.lapsed();
    fact.entry.id = told.id();
    fact.entry.service = told.service();
    fact.entry.endpoint = {told.address(), portOf(told.port())};
    fact.entry.zone = told.zone();
    fact.entry.slots = told.slots();
    fact.entry.leaving = told.leaving();
    fact.entry.startTime = told.born();
    fact.entry.software = told.software();
    fact.entry.models = std::vector<std::string>(told.models().begin(), told.models().end());
    for (const v1::Slot &slot : told.adapters())
        fact.entry.adapters.push_back({slot.adapter(), slot.version()});
    return fact;
}

void encodeRelease(const PartitionRelease &release, Instant now, v1::Released &told)
{
    told.set_partition(release.partition);
    told.set_generation(release.generation);
    told.set_ago_ms(toMillis(now - release.at));
}

// A message that was long under way makes a release look younger than it is, which only lengthens
// the wait for it.
PartitionRelease decodeRelease(const v1::Released &told, Instant now)
{
    PartitionRelease release;
    release.partition = told.partition();
    release.generation = told.generation();
    release.at = now - std::chrono::milliseconds(told.ago_ms());
    return release;
}

void encodeEvidence(std::uint64_t id, const CallEvidence &evidence, Instant now,
                    v1::CallEvidence &told)
{
    told.set_id(id);
    told.set_target(evidence.target);
    told.set_next_born(evidence.nextStartTime);
    told.set_ago_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(toMillis(now - evidence.at), 0)));
    for (const CallIdentity &call : evidence.calls) {
        v1::CallId *named = told.add_calls();
        named->set_content(call.content);
        named->set_caller(call.caller);
    }
}

CallEvidence decodeEvidence(const v1::CallEvidence &told, Instant now)
{
    CallEvidence evidence;
    evidence.target = told.target();
    evidence.nextStartTime = told.next_born();
    evidence.at = now - std::chrono::milliseconds(told.ago_ms());
    for (const v1::CallId &named : told.calls())
        evidence.calls.push_back({named.content(), named.caller()});
    return evidence;
}

} // namespace monsoonbay
