#pragma once

#include "ActiveCall.h"
#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Tokens of the call's prompt that an engine with so much memory is believed to keep. */
double cachedInEngine(const ActiveCall &run, const TargetEntry &engine, const TargetUsage &use,
                      double kvTokens);

/** An engine has unloaded an adapter, or replaced it: it has read no prompt with it. */
void dropPrefixesOf(GatewayNode &node, const std::string &target, const std::string &adapter);

/** The reading of a call's prompt by the target that the call is sent to. */
class PrefillObservation
{
public:
    /** Sets the call's `cachedTokens`. */
    PrefillObservation(ActiveCall &run, const std::string &target, Instant now);

    /** The first event has come: the prompt is read. Does nothing after the first time. */
    void noteFirstEvent(Instant now);

private:
    ActiveCall &run;
    std::uint64_t engine = 0;
    double aheadTokens = 0;
    Instant begunAt{};
    bool waiting = false;
};

/**
 * Adds to a report how much of the peer's log of prefixes this VM has, and to a mate what own calls
 * have shown since it was told last.
 */
void addPrefixesToReport(const GatewayNode &node, const PeerState &peer, bool zonePeer, Instant now,
                         gateway::v1::Report &report);

/** Adds to the answer of a report what its sender has not seen. `zonePeer`: it is of this zone. */
void addPrefixesToDigest(const GatewayNode &node, const gateway::v1::Report &report, bool zonePeer,
                         gateway::v1::Digest &digest);

/** Takes what a mate's calls have shown, and logs what is new for those that ask this VM. */
void applyReportedPrefixes(GatewayNode &node, const gateway::v1::Report &report);

/** The same of the answer to a report; before the peer's boot is noted from it. */
void applyDigestPrefixes(GatewayNode &node, PeerState &peer, const gateway::v1::Digest &digest);

} // namespace monsoonbay
