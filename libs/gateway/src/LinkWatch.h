#pragma once

#include <optional>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Detects that this VM has lost its links to the targets of a service while other VMs reach them.
 * The evidence is this VM's own exchanges that end without an answer, calls that wait in vain on
 * open connections, and the usage that other VMs report; see serving/TargetLinks.h. Probes decide,
 * as open connections may survive a network outage and targets may be slow; see LinkProbe.h.
 */

/** A target, and the service that it belongs to. */
struct TargetName
{
    std::string id;
    std::string service;
};

/** Call before what is known of other VMs' usage is dropped because the relay changes. */
void rememberUsageOfOthers(GatewayNode &node);

/** Records that an exchange with the target ended before the target had begun to answer. */
void recordLinkFailure(GatewayNode &node, const std::string &target);

/** Records that the target answered on a new connection; to accept one proves nothing. */
void recordLinkSuccess(GatewayNode &node, const std::string &target);

/** Records that a call begins to wait for a target's answer, or no longer does. */
void recordAwaiting(GatewayNode &node, const TargetName &target);
void recordAwaitingEnd(GatewayNode &node, const TargetName &target);

/** Records that a part of an answer was received from the target. */
void recordHeard(GatewayNode &node, const TargetName &target);

/**
 * While it lives, the call that waits on the connection is broken off if the links of this VM turn
 * out to be lost and its target has sent nothing since: the call can be sent again elsewhere.
 */
class RepeatableWait
{
public:
    RepeatableWait(GatewayNode &node, const TargetName &target,
                   const TargetConnectionPtr &connection);
    ~RepeatableWait();

    RepeatableWait(const RepeatableWait &) = delete;
    RepeatableWait &operator=(const RepeatableWait &) = delete;

private:
    std::list<RepeatableCall> &calls;
    std::list<RepeatableCall>::iterator call;
};

/** Watches for services from which nothing is received while calls wait. */
asio::awaitable<void> watchLinksLoop(GatewayNode &node);

/**
 * True if calls of a service whose links are lost are sent to its targets all the same: the latest
 * probes reached some of them, and no other VM has just accepted a call.
 */
bool shouldServeItself(const GatewayNode &node, const std::string &service);

/** Records that no other VM accepted a call of the service. */
void recordNoPeer(GatewayNode &node, const std::string &service);

bool areLinksLost(const GatewayNode &node, const std::string &service);

/** When the links to engines were lost; nothing: they are not lost. */
std::optional<Instant> engineLinksLostSince(const GatewayNode &node);

/** Reachable VMs of the zone, except `excluded`, that have not lost their links to engines. */
int linkedVms(const GatewayNode &node, const Endpoint &excluded);

/** True if this VM recently got no answer of the target, while other VMs reach it. */
bool isOwnLinkFault(const GatewayNode &node, const std::string &target, Instant now);

/**
 * True if what this VM observes of the target may be due to its own lost links. Such observations
 * must not be reported to other VMs.
 */
bool isObservationDoubtful(const GatewayNode &node, const std::string &target);

} // namespace monsoonbay
