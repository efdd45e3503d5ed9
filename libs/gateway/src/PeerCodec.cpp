#include "PeerCodec.h"

#include <algorithm>

#include "ClassDemandCodec.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace v1 = gateway::v1;

namespace {

constexpr int maxRank = 1000;

/** Upper bound of the retry times that are sent for declined loads. */
constexpr Duration maxRetryIn = std::chrono::seconds(60);

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
              const SharedVm &sharedVm, v1::Vm &vm)
{
    vm.set_name(name);
    vm.set_address(endpoint.address);
    vm.set_port(endpoint.port);
    vm.set_boot(boot);
    vm.set_zone(sharedVm.zone);
    vm.set_capacity(sharedVm.capacity);
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
    SharedVm sharedVm;
    sharedVm.name = vm.name();
    sharedVm.zone = vm.zone();
    sharedVm.capacity = vm.capacity();
    return sharedVm;
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
    request.set_rank(static_cast<std::uint32_t>(std::clamp(rank, 0, maxRank)));
}

int decodeRank(const v1::LoadRequest &request)
{
    return static_cast<int>(std::min<std::uint32_t>(request.rank(), maxRank));
}

void encodeDecline(const LoadDecline &decline, v1::LoadReply &reply)
{
    // Rounded up: a lease holder that is asked a moment too early declines once more.
    const Duration retryIn = std::clamp(decline.retryIn, Duration::zero(), maxRetryIn);
    const auto millis = static_cast<std::uint32_t>(toMillis(retryIn));
    const bool roundedDown = retryIn > std::chrono::milliseconds(millis);
    reply.set_retry_in_ms(millis + (roundedDown ? 1 : 0));
    reply.set_reason(static_cast<v1::LoadDecline>(decline.reason));
}

LoadDecline decodeDecline(const v1::LoadReply &reply)
{
    LoadDecline decline;
    const auto longest = static_cast<std::uint64_t>(toMillis(maxRetryIn));
    decline.retryIn =
        std::chrono::milliseconds(std::min(std::uint64_t{reply.retry_in_ms()}, longest));
    decline.reason = declineReasonOf(static_cast<std::uint64_t>(reply.reason()));
    return decline;
}

void encodeTargetUsage(const std::string &target, const TargetUsage &usage, v1::EngineUse &message)
{
    message.set_target(target);
    message.set_waiting_tokens(wholeTokens(usage.waitingTokens));
    message.set_held_tokens(wholeTokens(usage.heldTokens));
    message.set_runs(usage.runs);
    message.set_busy_slots(usage.busySlots);
    message.set_faults(static_cast<std::uint32_t>(std::max(usage.failures, 0)));
    message.set_goods(static_cast<std::uint32_t>(std::max(usage.successes, 0)));
    message.set_quick_runs(usage.shortObjectiveRuns);
}

void encodeWorkspaceUse(const std::string &workspace, const WorkspaceUse &usage,
                        v1::WorkspaceUse &message)
{
    message.set_workspace(workspace);
    message.set_units(static_cast<std::uint64_t>(std::max<std::int64_t>(usage.unitsInWindow, 0)));
    message.set_asked_per_second(
        static_cast<std::uint64_t>(std::max<std::int64_t>(usage.requestedPerSecond, 0)));
    encodeClassDemand(usage, message);
}

namespace {

/** False if the classes in `message` are invalid. */
bool decodeInto(const v1::WorkspaceUse &message, WorkspaceUse &usage)
{
    usage.unitsInWindow =
        static_cast<std::int64_t>(std::min<std::uint64_t>(message.units(), maxReportedNumber));
    usage.requestedPerSecond = static_cast<std::int64_t>(
        std::min<std::uint64_t>(message.asked_per_second(), maxReportedNumber));
    return decodeClassDemand(message, usage);
}

} // namespace

WorkspaceUse decodeWorkspaceUse(const v1::WorkspaceUse &message)
{
    WorkspaceUse usage;
    decodeInto(message, usage);
    return usage;
}

WorkspaceUses decodeWorkspaceUses(const google::protobuf::RepeatedPtrField<v1::WorkspaceUse> &all,
                                  const v1::Vm &from)
{
    WorkspaceUses usages;
    std::string invalid;
    for (const v1::WorkspaceUse &message : all) {
        WorkspaceUse usage;
        if (!decodeInto(message, usage))
            invalid = message.workspace();
        usages[message.workspace()] = usage;
    }
    if (!invalid.empty())
        logEvent(EventId::UseMalformed, {{"peer", from.name()}, {"workspace", invalid}});
    return usages;
}

TargetUsage decodeTargetUsage(const v1::EngineUse &message)
{
    TargetUsage usage;
    usage.waitingTokens = static_cast<double>(message.waiting_tokens());
    usage.heldTokens = static_cast<double>(message.held_tokens());
    usage.runs = message.runs();
    usage.busySlots = message.busy_slots();
    usage.failures = static_cast<int>(message.faults());
    usage.successes = static_cast<int>(message.goods());
    usage.shortObjectiveRuns = message.quick_runs();
    return usage;
}

void encodeTarget(const std::string &target, const SharedTarget &sharedTarget, v1::Target &message)
{
    message.set_id(target);
    message.set_gone(sharedTarget.gone);
    if (sharedTarget.gone)
        return;
    const TargetEntry &entry = sharedTarget.entry;
    message.set_service(entry.service);
    message.set_address(entry.endpoint.address);
    message.set_port(entry.endpoint.port);
    message.set_zone(entry.zone);
    message.set_slots(entry.slots);
    message.set_leaving(entry.leaving);
    message.set_born(entry.startTime);
    message.set_software(entry.software);
    message.set_lapsed(sharedTarget.expired);
    for (const std::string &model : entry.models)
        message.add_models(model);
    for (const HeldAdapter &held : entry.adapters) {
        v1::Slot *slot = message.add_adapters();
        slot->set_adapter(held.adapter);
        slot->set_version(held.version);
    }
}

SharedTarget decodeTarget(const v1::Target &message)
{
    SharedTarget sharedTarget;
    sharedTarget.gone = message.gone();
    sharedTarget.expired = message.lapsed();
    sharedTarget.entry.id = message.id();
    sharedTarget.entry.service = message.service();
    sharedTarget.entry.endpoint = {message.address(), portOf(message.port())};
    sharedTarget.entry.zone = message.zone();
    sharedTarget.entry.slots = message.slots();
    sharedTarget.entry.leaving = message.leaving();
    sharedTarget.entry.startTime = message.born();
    sharedTarget.entry.software = message.software();
    sharedTarget.entry.models =
        std::vector<std::string>(message.models().begin(), message.models().end());
    for (const v1::Slot &slot : message.adapters())
        sharedTarget.entry.adapters.push_back({slot.adapter(), slot.version()});
    return sharedTarget;
}

void encodeRelease(const PartitionRelease &release, Instant now, v1::Released &message)
{
    message.set_partition(release.partition);
    message.set_generation(toNumber(release.generation));
    message.set_ago_ms(toMillis(now - release.at));
}

// A message that was in transit for long makes a release look more recent than it is, which only
// lengthens the wait for it.
PartitionRelease decodeRelease(const v1::Released &message, Instant now)
{
    PartitionRelease release;
    release.partition = message.partition();
    release.generation = toGeneration(message.generation());
    release.at = now - std::chrono::milliseconds(message.ago_ms());
    return release;
}

void encodeEvidence(std::uint64_t id, const CallEvidence &evidence, Instant now,
                    v1::CallEvidence &message)
{
    message.set_id(id);
    message.set_target(evidence.target);
    message.set_next_born(evidence.nextStartTime);
    message.set_ago_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(toMillis(now - evidence.at), 0)));
    for (const CallIdentity &call : evidence.calls) {
        v1::CallId *named = message.add_calls();
        named->set_content(call.content);
        named->set_caller(call.caller);
        for (const std::uint64_t part : call.parts)
            named->add_parts(part);
    }
}

CallEvidence decodeEvidence(const v1::CallEvidence &message, Instant now)
{
    CallEvidence evidence;
    evidence.target = message.target();
    evidence.nextStartTime = message.next_born();
    evidence.at = now - std::chrono::milliseconds(message.ago_ms());
    for (const v1::CallId &named : message.calls())
        evidence.calls.push_back(
            {named.content(), named.caller(), {named.parts().begin(), named.parts().end()}});
    return evidence;
}

} // namespace monsoonbay
