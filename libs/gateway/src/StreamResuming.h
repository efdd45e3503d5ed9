#pragma once

#include <optional>
#include <string>

#include "ActiveCall.h"
#include "Gateway.pb.h"

namespace monsoonbay {

/**
 * What targets of two versions of their software write does not fit together, so a stream goes on
 * only at the version that began it. VMs in doubt tell others of the streams that they begin, and
 * ask them of those that they did not; see docs/design/stream-versions.md.
 */

/** The first event of a stream goes to its caller, from a target of that version. */
void recordStreamStart(ActiveCall &call, const std::string &software);

/**
 * For a call that takes a stream up again, sets what began it; a refusal if that is not known. It
 * returns at once for other calls.
 */
asio::awaitable<std::optional<LocalReply>> resolveStreamOrigin(ActiveCall &call);

/**
 * Takes off the targets that the call's stream may not go on at, and for one that begins those of a
 * version that is not settled, if others are left.
 */
void keepCompatibleTargets(ActiveCall &call, std::vector<const TargetRecord *> &targets);

/**
 * False: the engine may have come back as another version since its entry was read. It is asked for
 * its start before a stream goes on there, or begins after a connection to it was lost; calls that
 * nobody may take up are not kept waiting.
 */
asio::awaitable<bool> confirmTargetStart(ActiveCall &call, const TargetEntry &target);

/** Looks at the versions that serve, and tells others of streams. */
asio::awaitable<void> streamOriginLoop(GatewayNode &node);

gateway::v1::OriginsNoted handleOriginNote(GatewayNode &node, const gateway::v1::OriginNote &note);
gateway::v1::OriginReply handleOriginRequest(GatewayNode &node,
                                             const gateway::v1::OriginRequest &request);

} // namespace monsoonbay
