#include "PrefixSharing.h"

#include "PeerCodec.h"
#include "PrefixCodec.h"

namespace monsoonbay {

namespace {

namespace v1 = gateway::v1;

std::uint64_t keyOf(const GatewayNode &node, const std::string &target)
{
    const TargetEntry *entry = entryOf(node, target);
    return engineKey(target, entry == nullptr ? 0 : entry->startTime);
}

std::uint64_t reporterHash(const Endpoint &endpoint)
{
    return stableHash(endpoint.text());
}

} // namespace

double cachedInEngine(const ActiveCall &call, const TargetEntry &engine, const TargetUsage &usage,
                      double kvTokens)
{
    if (call.prefixes.empty())
        return 0;
    PrefixIndex &index = call.node.prefixes.table;
    const std::uint64_t key = engineKey(engine.id, engine.startTime);
    evictToFit(index, key, prefixCacheCapacity(kvTokens, usage.heldTokens));
    return cachedPrefixTokens(index, key, call.prefixes);
}

void dropPrefixesOf(GatewayNode &node, const std::string &target, const std::string &adapter)
{
    if (!node.prefixes.table.engines.empty())
        forgetAdapter(node.prefixes.table, keyOf(node, target), prefixTagOf(adapter));
}

PrefillObservation::PrefillObservation(ActiveCall &call, const std::string &target, Instant now)
    : call(call)
{
    call.cachedTokens = 0;
    if (call.prefixes.empty())
        return;
    this->engine = keyOf(call.node, target);
    call.cachedTokens = cachedPrefixTokens(call.node.prefixes.table, this->engine, call.prefixes);
    this->aheadTokens = totalLoad(call.node, target).waitingTokens;
    this->begunAt = now;
    this->waiting = true;
}

// Only the time of the first event is evidence for what was cached. That the call was sent there is
// not: it only shows what was believed.
void PrefillObservation::recordFirstEvent(Instant now)
{
    if (!this->waiting)
        return;
    this->waiting = false;
    GatewayNode &node = this->call.node;
    FirstEventTiming timing;
    timing.untilFirst = now - this->begunAt;
    timing.promptTokens = this->call.metadata.promptTokens;
    timing.cachedPrefixTokens = this->call.cachedTokens;
    timing.aheadTokens = this->aheadTokens;
    if (indicatesCacheMiss(timing, node.settings.weights.promptTokensPerMs)) {
        recordMissing(node.prefixes.table, this->engine, this->call.prefixes, now);
        node.metrics.add(Counter::PrefixesMissing);
        return;
    }
    node.metrics.add(Counter::CachedTokens, static_cast<std::uint64_t>(timing.cachedPrefixTokens));
    for (const PromptPrefix &prefix :
         recordRead(node.prefixes.table, this->engine, this->call.prefixes, now))
        logPrefix(node.prefixes.log, {this->engine, prefix}, PrefixSource::Own, 0, now);
}

void addPrefixesToReport(const GatewayNode &node, const PeerState &peer, bool zonePeer, Instant now,
                         v1::Report &report)
{
    PrefixUpdates update;
    update.seen = peer.seenPrefix;
    if (zonePeer) {
        PrefixReader reader;
        reader.relay = true;
        reader.seen = peer.sentBoot == peer.boot ? peer.sentPrefix : 0;
        update.reads = prefixesFor(node.prefixes.log, reader, now);
    }
    if (update != PrefixUpdates())
        *report.mutable_prefixes() = encodePrefixUpdates(update);
}

void addPrefixesToDigest(const GatewayNode &node, const v1::Report &report, bool zonePeer,
                         v1::Digest &digest)
{
    const PrefixLog &log = node.prefixes.log;
    if (!report.carries_use() || log.entries.empty())
        return;
    PrefixReader reader;
    reader.zonePeer = zonePeer;
    reader.sourceVm = reporterHash(decodeEndpoint(report.from()));
    const std::uint64_t seen = report.prefixes().seen();
    // A number that this log has not reached yet belongs to another log.
    if (report.known_boot() == node.boot && seen <= log.last)
        reader.seen = seen;
    PrefixUpdates update;
    update.reads = prefixesFor(log, reader, BootClock::now());
    if (update.reads.empty())
        return;
    update.change = log.last;
    *digest.mutable_prefixes() = encodePrefixUpdates(update);
}

namespace {

void applyReads(GatewayNode &node, const Endpoint &sourceVm, PrefixSource source,
                const std::vector<PrefixRead> &reads)
{
    if (reads.empty())
        return;
    const Instant now = BootClock::now();
    const std::uint64_t from = reporterHash(sourceVm);
    for (const PrefixRead &read : reads) {
        if (recordReported(node.prefixes.table, read.engine, read.prefix, now))
            logPrefix(node.prefixes.log, read, source, from, now);
    }
}

} // namespace

void applyReportedPrefixes(GatewayNode &node, const v1::Report &report)
{
    applyReads(node, decodeEndpoint(report.from()), PrefixSource::Zone,
               decodePrefixUpdates(report.prefixes()).reads);
}

void applyDigestPrefixes(GatewayNode &node, PeerState &peer, const v1::Digest &digest)
{
    if (peer.seenBoot != digest.from().boot())
        peer.seenPrefix = 0;
    const PrefixUpdates update = decodePrefixUpdates(digest.prefixes());
    if (update.change > 0)
        peer.seenPrefix = update.change;
    applyReads(node, peer.endpoint, PrefixSource::Elsewhere, update.reads);
}

} // namespace monsoonbay
