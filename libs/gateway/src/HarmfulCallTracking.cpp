#include "HarmfulCallTracking.h"

#include <algorithm>
#include <utility>

#include "FleetCount.h"
#include "observe/Events.h"

namespace monsoonbay {

namespace {

/** Size of one record of evidence; 0.6 KB, so that an answer with many changes stays short. */
constexpr std::size_t maxRecordSize = 64;

/** Bounds on the evidence kept, by records and by their size: 2 MB in all. */
constexpr std::size_t maxEvidence = 2048;
constexpr std::size_t maxEvidenceSize = 32768;

/** Hashes that an identity takes, if it has a few parts. */
std::size_t sizeOf(const CallIdentity &call)
{
    return 2 + call.parts.size();
}

std::size_t sizeOf(const CallEvidence &evidence)
{
    std::size_t size = 0;
    for (const CallIdentity &call : evidence.calls)
        size += sizeOf(call);
    return size;
}

void addEvidence(GatewayNode &node, std::uint64_t id, KnownEvidence known)
{
    if (node.shared.evidence.find(id) != nullptr)
        return;
    node.evidenceSize += sizeOf(known.evidence);
    node.shared.evidence.set(id, std::move(known), node.shared.counter);
    node.evidenceChanged = true;
}

/** Adds evidence of this VM, which it reports to the others. */
void addOwnEvidence(GatewayNode &node, const CallEvidence &evidence)
{
    KnownEvidence record{evidence, true};
    record.evidence.calls.clear();
    std::size_t size = 0;
    for (const CallIdentity &call : evidence.calls) {
        if (size > 0 && size + sizeOf(call) > maxRecordSize) {
            addEvidence(node, node.random(), record);
            record.evidence.calls.clear();
            size = 0;
        }
        record.evidence.calls.push_back(call);
        size += sizeOf(call);
    }
    if (size > 0)
        addEvidence(node, node.random(), std::move(record));
    evaluateEvidence(node);
    node.reportDue.notifyAll();
}

void dropEvidence(GatewayNode &node, std::uint64_t id)
{
    const KnownEvidence *known = node.shared.evidence.find(id);
    if (known == nullptr)
        return;
    node.evidenceSize -= sizeOf(known->evidence);
    node.shared.evidence.erase(id);
    node.evidenceChanged = true;
}

/** True if a harmful call is blocked by this evidence: without it, it would be admitted again. */
bool blocksHarmfulCall(const HarmfulCalls &harmful, const CallEvidence &evidence)
{
    return !evidence.target.empty()
        && std::any_of(evidence.calls.begin(), evidence.calls.end(),
                       [&](const auto &call) { return findHarmful(harmful, call) != nullptr; });
}

/** Ids of all evidence in the order of eviction: that of harmful calls last, the oldest first. */
std::vector<std::uint64_t> inEvictionOrder(const GatewayNode &node)
{
    std::vector<std::tuple<bool, Instant, std::uint64_t>> ordered;
    for (const auto &[id, entry] : node.shared.evidence.all()) {
        const CallEvidence &evidence = entry.value.evidence;
        ordered.emplace_back(blocksHarmfulCall(node.harmful, evidence), evidence.at, id);
    }
    std::sort(ordered.begin(), ordered.end());
    std::vector<std::uint64_t> ids;
    for (const auto &[blocks, at, id] : ordered)
        ids.push_back(id);
    return ids;
}

std::string attributesText(const HarmfulCall &call)
{
    std::string attributes;
    for (const CallAttribute &attribute : call.attributes)
        attributes += (attributes.empty() ? "" : ", ") + attributeText(attribute);
    return attributes;
}

void logVerdict(const HarmfulCall &call)
{
    logEvent(EventId::CallFoundHarmful,
             {{"attributes", attributesText(call)},
              {"targetsEnded", std::to_string(call.crashes)},
              {"firstEndAgoMs", std::to_string(toMillis(BootClock::now() - call.firstCrashAt))}});
}

} // namespace

void recordTargetEnd(GatewayNode &node, const CallEvidence &evidence)
{
    addOwnEvidence(node, evidence);
}

// Costs a call a single check while no target has crashed under any call.
void recordCompletedCall(ActiveCall &call)
{
    GatewayNode &node = call.node;
    if (node.harmful.suspects.empty())
        return;
    std::optional<CallIdentity> suspect = clearedByAnswer(node.harmful, identityOf(call));
    if (suspect)
        addOwnEvidence(node, {std::string(), 0, {std::move(*suspect)}, BootClock::now()});
}

void addReceivedEvidence(GatewayNode &node, std::uint64_t id, CallEvidence evidence)
{
    addEvidence(node, id, {std::move(evidence), false});
}

void evaluateEvidence(GatewayNode &node)
{
    if (!std::exchange(node.evidenceChanged, false))
        return;
    std::vector<const CallEvidence *> evidence;
    for (const auto &[id, entry] : node.shared.evidence.all())
        evidence.push_back(&entry.value.evidence);
    const HarmfulCalls before = std::exchange(node.harmful, findHarmfulCalls(evidence));
    std::erase_if(node.harmfulTrials, [&node](const auto &trial) {
        return std::none_of(
            node.harmful.calls.begin(), node.harmful.calls.end(),
            [&trial](const HarmfulCall &call) { return call.attributes == trial.first; });
    });
    for (const HarmfulCall &call : node.harmful.calls) {
        const bool known =
            std::any_of(before.calls.begin(), before.calls.end(), [&call](const HarmfulCall &old) {
                return old.attributes == call.attributes;
            });
        if (!known)
            logVerdict(call);
    }
}

void pruneEvidence(GatewayNode &node, Instant now)
{
    std::vector<std::uint64_t> expired;
    for (const auto &[id, entry] : node.shared.evidence.all()) {
        if (now - entry.value.evidence.at > evidenceTtl)
            expired.push_back(id);
    }
    for (const std::uint64_t id : expired)
        dropEvidence(node, id);
    const auto exceedsBounds = [&node] {
        return node.evidenceSize > maxEvidenceSize
            || node.shared.evidence.all().size() > maxEvidence;
    };
    if (exceedsBounds()) {
        for (const std::uint64_t id : inEvictionOrder(node)) {
            if (!exceedsBounds())
                break;
            dropEvidence(node, id);
        }
    }
    evaluateEvidence(node);
}

namespace {

/** Between the trials of two VMs: the crash of the first is known to the second by then. */
constexpr Duration trialSpacing = std::chrono::milliseconds(200);

/** After a trial of this VM that brought neither an answer nor a crash. */
constexpr Duration trialInterval = std::chrono::seconds(2);

/** True if this call is the trial of a verdict, from now on or already, and was not sent yet. */
bool claimTrial(ActiveCall &call, const HarmfulCall &harmful)
{
    if (call.runsStarted > 0)
        return false;
    if (call.triesHarmful)
        return true;
    GatewayNode &node = call.node;
    const Instant now = BootClock::now();
    if (untilTrial(node, harmful, now) > Duration::zero())
        return false;
    node.harmfulTrials[harmful.attributes] = now;
    call.triesHarmful = true;
    logEvent(EventId::HarmfulCallTried,
             {{"call", call.metadata.attemptId},
              {"attributes", attributesText(harmful)},
              {"targetsEnded", std::to_string(harmful.crashes)},
              {"lastEndAgoMs", std::to_string(toMillis(now - harmful.lastCrashAt))}});
    return true;
}

} // namespace

Duration untilTrial(const GatewayNode &node, const HarmfulCall &harmful, Instant now)
{
    Instant from = nextTrialAt(harmful) + trialSpacing * rankAmongVms(node);
    const auto last = node.harmfulTrials.find(harmful.attributes);
    if (last != node.harmfulTrials.end())
        from = std::max(from, last->second + trialInterval);
    return std::max<Duration>(from - now, Duration::zero());
}

const HarmfulCall *findHarmfulCall(ActiveCall &call)
{
    if (call.node.harmful.calls.empty())
        return nullptr;
    const HarmfulCall *harmful = findHarmful(call.node.harmful, identityOf(call));
    return harmful != nullptr && claimTrial(call, *harmful) ? nullptr : harmful;
}

} // namespace monsoonbay
