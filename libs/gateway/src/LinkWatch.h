#pragma once

#include <optional>
#include <string>

#include "GatewayNode.h"

namespace monsoonbay {

/**
 * Whether this VM has lost its own links to the targets of a service, while other VMs reach them.
 * It is judged by attempts of this VM to connect, and by what others tell of their calls; see
 * serving/TargetLinks.h. Kept connections may live on in a cut, and do not count. Nothing is sent
 * for it while links are sound.
 */

/** A connection to the target failed, or was given up as silent. */
void recordLinkFailure(GatewayNode &node, const std::string &target);

/** The target accepted a connection. */
void recordLinkSuccess(GatewayNode &node, const std::string &target);

bool areLinksLost(const GatewayNode &node, const std::string &service);

/** When the links to engines were lost; nothing: they are not. */
std::optional<Instant> engineLinksLostSince(const GatewayNode &node);

/** VMs of the zone that can be heard and have not lost their links to engines, but for one. */
int linkedVms(const GatewayNode &node, const Endpoint &excluded);

/** True if this VM does not reach the target, though others do. */
bool isOwnLinkFault(const GatewayNode &node, const std::string &target, Instant now);

/** True if what this VM sees of the target tells of its links; others must not hear of it. */
bool isObservationDoubtful(const GatewayNode &node, const std::string &target);

} // namespace monsoonbay
