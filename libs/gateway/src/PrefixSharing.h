#pragma once

#include "ActiveCall.h"
#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Tokens of the call's prompt that an engine with `kvTokens` of KV cache is believed to hold. */
double cachedInEngine(const ActiveCall &call, const TargetEntry &engine, const TargetUsage &usage,
                      double kvTokens);

/** Drops the prefixes of an adapter that an engine has unloaded or replaced. */
void dropPrefixesOf(GatewayNode &node, const std::string &target, const std::string &adapter);

/** Observes the prefill of a call's prompt at the target that the call is sent to. */
class PrefillObservation
{
public:
    /** Sets the call's `cachedTokens`. */
    PrefillObservation(ActiveCall &call, const std::string &target, Instant now);

    /** Call when the first event arrives, so prefill is done. Only the first call has an effect. */
    void recordFirstEvent(Instant now);

private:
    ActiveCall &call;
    std::uint64_t engine = 0;
    double aheadTokens = 0;
    Instant begunAt{};
    bool waiting = false;
};

/**
 * Adds to a report which entry of the peer's prefix log this VM received last. For a zone peer,
 * also adds the prefixes that this VM's calls have shown since the last report to it.
 */
void addPrefixesToReport(const GatewayNode &node, const PeerState &peer, bool zonePeer, Instant now,
                         gateway::v1::Report &report);

/**
 * Adds to the answer the prefixes that the sender of `report` has not received. `zonePeer`: the
 * sender is of this VM's zone.
 */
void addPrefixesToDigest(const GatewayNode &node, const gateway::v1::Report &report, bool zonePeer,
                         gateway::v1::Digest &digest);

/** Applies the prefixes that a zone peer's calls have shown, and logs new ones for other VMs. */
void applyReportedPrefixes(GatewayNode &node, const gateway::v1::Report &report);

/** The same for the answer to a report. Call before the peer's `seenBoot` is updated from it. */
void applyDigestPrefixes(GatewayNode &node, PeerState &peer, const gateway::v1::Digest &digest);

} // namespace monsoonbay
