#include "SharedEngines.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "LeaseKeeping.h"
#include "TargetRestarts.h"
#include "UsageReports.h"

namespace monsoonbay {

namespace {

/**
 * Holders report here about every 200 ms. One that was silent for this long is taken as dead, as
 * calls that wait for its loads would wait in vain.
 */
constexpr Duration holderTimeout = std::chrono::milliseconds(1200);

/** A lease holder that did not answer is avoided for this long; other engines take its loads. */
constexpr Duration failedLoadBackoff = std::chrono::milliseconds(1000);

/** Published load times are rounded to this, as each change is sent to all VMs. */
constexpr Duration publishedStep = std::chrono::milliseconds(20);

/**
 * A load time is published again only when it differs by more than this fraction. All engines of a
 * lease holder share it, so each change is an update for all of them.
 */
constexpr double republishThreshold = 0.1;

double roundedToStep(Duration time)
{
    return static_cast<double>(
        toMillis((time + publishedStep / 2) / publishedStep * publishedStep));
}

/** The load time to publish, in ms, if `published` was published last. */
double timeToPublish(double published, Duration time)
{
    const double now = roundedToStep(time);
    return std::abs(now - published) <= republishThreshold * published ? published : now;
}

} // namespace

void applyEngineRecord(GatewayNode &node, const std::string &target, EngineRecord record)
{
    if (recordStartTime(node, target, record.startTime) == StartOrder::Older
        || mayCommandNow(node, target))
        return;
    const EngineRecord *known = node.shared.engines.find(target);
    if (known != nullptr && !mayReplaceRecord(*known, record))
        return;
    TargetRuntime &runtime = runtimeOf(node, target);
    const bool otherHolder = known == nullptr || known->holder != record.holder;
    if (otherHolder)
        runtime.loadBackoff = LoadBackoff();
    if (otherHolder && !runtime.ownAdapterRuns.empty())
        markRunsChanged(node, target);
    runtime.models = record.models;
    setResident(node, target, record.resident);
    const auto expected = [&](const std::string &adapter) {
        const bool copy = hasHostCopy(runtime.copies, adapter, HostRetention{record.copiesKept});
        return fromSeconds((copy ? record.copyMs : record.fetchMs) / 1000);
    };
    updatePendingLoads(runtime.incoming, record.incoming, expected, BootClock::now());
    node.shared.engines.set(target, std::move(record), node.shared.counter);
    node.engineChanged.notifyAll();
}

void applyEngineChange(GatewayNode &node, std::set<std::string> &unknown, const std::string &target,
                       const EngineChange &change)
{
    const EngineRecord *known = node.shared.engines.find(target);
    if (!change.isSnapshot && known != nullptr) {
        EngineRecord offered = change.record;
        if (change.sameHeader)
            offered.startTime = known->startTime;
        if (mayCommandNow(node, target) || !mayReplaceRecord(*known, offered))
            return;
    }
    std::optional<EngineRecord> record = applyDocumentDelta(known, change);
    if (record)
        applyEngineRecord(node, target, std::move(*record));
    else
        unknown.insert(target);
}

void publishEngine(GatewayNode &node, const std::string &target)
{
    const auto held = node.heldEngines.find(target);
    if (held == node.heldEngines.end() || held->second->scheduler.sequence < 0
        || !mayCommandNow(node, target))
        return;
    const AdapterScheduler &scheduler = held->second->scheduler;
    EngineRecord record;
    record.holder = node.settings.peers;
    record.holderLive = true;
    const TargetEntry *entry = entryOf(node, target);
    record.startTime =
        entry == nullptr ? scheduler.startTime : std::max(scheduler.startTime, entry->startTime);
    record.models = scheduler.models;
    record.loading = fetchesUnderWay(scheduler);
    const LoadEstimator &estimator = node.loadEstimator;
    const EngineRecord *known = node.shared.engines.find(target);
    const bool published = known != nullptr && known->holder == record.holder;
    record.fetchMs = timeToPublish(published ? known->fetchMs : 0,
                                   fetchTime(estimator.times, loadsUnderWay(node) + 1));
    record.copyMs = timeToPublish(published ? known->copyMs : 0, hostCopyTime(estimator.times));
    record.copiesKept = std::exp2(std::floor(2 * std::log2(estimator.memory.retainedLoads)) / 2);
    for (const auto &[adapter, slot] : scheduler.slots) {
        if (!isShared(slot, estimator.times))
            record.incoming.insert(adapter);
        else if (!slot.unloadDeferred)
            record.resident[adapter] = slot.version;
    }
    record.revision = {toNumber(node.lease.generation), node.bootCount, 0};
    if (known != nullptr && known->revision.generation == record.revision.generation
        && known->revision.starts == record.revision.starts)
        record.revision.count = known->revision.count;
    if (known != nullptr && *known == record)
        return;
    ++record.revision.count;
    node.shared.engines.set(target, std::move(record), node.shared.counter);
    node.reportDue.notifyAll();
}

// Keeps the generation in which the engine was held: the next holder's record, which has a later
// generation, has to win over this one in whatever order they arrive.
void retractEngines(GatewayNode &node)
{
    std::vector<std::string> lost;
    for (const auto &[target, entry] : node.shared.engines.all()) {
        const bool own = entry.value.holderLive && entry.value.holder == node.settings.peers;
        if (own && !mayCommandNow(node, target))
            lost.push_back(target);
    }
    for (const std::string &target : lost) {
        EngineRecord record = *node.shared.engines.find(target);
        record.holderLive = false;
        ++record.revision.count;
        node.shared.engines.set(target, std::move(record), node.shared.counter);
    }
    if (!lost.empty())
        node.reportDue.notifyAll();
}

namespace {

/** Marks an engine as having no live lease holder; the holder's record and revision are kept. */
void markUnheld(GatewayNode &node, const std::string &target)
{
    EngineRecord record = *node.shared.engines.find(target);
    record.holderLive = false;
    node.shared.engines.set(target, std::move(record), node.shared.counter);
}

/** True if the lease holder of an engine is alive, by the reports that reach this relay. */
bool isHolderAlive(const GatewayNode &node, const std::string &target, const EngineRecord &record,
                   Instant now)
{
    const TargetEntry *entry = entryOf(node, target);
    if (entry == nullptr || record.holder == node.settings.peers)
        return true;
    if (entry->zone != node.settings.zone)
        return node.reported.reports.count(zoneReporterName(entry->zone)) > 0;
    const auto peer = node.peers.find(record.holder);
    return peer != node.peers.end() && now - peer->second.lastMessageAt < holderTimeout;
}

} // namespace

// Keeps the lease holder's own record; the relay only adds whether that VM can be reached, which
// the other VMs of the zone learn from it.
void markSilentHolders(GatewayNode &node, Instant now)
{
    if (!node.relaying)
        return;
    std::vector<std::string> silent;
    for (const auto &[target, entry] : node.shared.engines.all()) {
        if (entry.value.holderLive && !isHolderAlive(node, target, entry.value, now))
            silent.push_back(target);
    }
    for (const std::string &target : silent)
        markUnheld(node, target);
}

// If it were asked again at once, it would reply the same to every waiting call; it publishes a new
// record once it holds the engine.
void recordNotHolder(GatewayNode &node, const std::string &target, const Endpoint &asked)
{
    const EngineRecord *record = node.shared.engines.find(target);
    if (record == nullptr || !record->holderLive || record->holder != asked)
        return;
    markUnheld(node, target);
}

void applyHolderLiveness(GatewayNode &node, const std::string &zone, const std::string &target)
{
    const TargetEntry *entry = entryOf(node, target);
    const EngineRecord *record = node.shared.engines.find(target);
    if (entry == nullptr || entry->zone != zone || record == nullptr || record->holderLive)
        return;
    EngineRecord live = *record;
    live.holderLive = true;
    applyEngineRecord(node, target, std::move(live));
}

const PeerState *holderOf(const GatewayNode &node, const std::string &target)
{
    const EngineRecord *record = node.shared.engines.find(target);
    if (record == nullptr || !record->holderLive)
        return nullptr;
    const auto peer = node.peers.find(record->holder);
    if (peer == node.peers.end() || peer->second.leftLeaseGroup)
        return nullptr;
    const Instant failed = peer->second.loadFailedAt;
    if (failed != Instant{} && BootClock::now() - failed < failedLoadBackoff)
        return nullptr;
    return &peer->second;
}

int liveHolders(const GatewayNode &node)
{
    std::set<Endpoint> holders;
    for (const auto &[target, entry] : node.shared.engines.all()) {
        if (entry.value.holderLive)
            holders.insert(entry.value.holder);
    }
    return std::max(1, static_cast<int>(holders.size()));
}

// Skips engines that are gone or whose lease holder is silent: nothing reports the end of their
// loads. If they stayed in the count, the weight store would look busy, and all loads would be
// expected to take longer than they do.
int loadsUnderWay(const GatewayNode &node)
{
    int loads = 0;
    for (const auto &[target, entry] : node.shared.engines.all()) {
        const auto listed = node.targetTable.records.find(target);
        if (!entry.value.holderLive || listed == node.targetTable.records.end()
            || listed->second.removed)
            continue;
        loads += entry.value.loading;
    }
    return loads;
}

} // namespace monsoonbay
