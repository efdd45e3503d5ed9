#pragma once

#include <optional>
#include <string>

#include "ActiveCall.h"
#include "Gateway.pb.h"

namespace monsoonbay {

/**
 * The output of two software versions of a target does not fit together, so a stream is resumed
 * only on the version that began it. While more than one version may have begun streams, VMs report
 * the streams that they begin to others, and ask them about streams that they did not begin; see
 * docs/design/stream-versions.md.
 */

/** Records that the first event of a stream, by that software version, goes to its caller. */
void recordStreamStart(ActiveCall &call, const std::string &software);

/**
 * For a call that resumes a stream, sets the version that began it; a refusal if that is not known.
 * It returns at once for other calls.
 */
asio::awaitable<std::optional<LocalReply>> resolveStreamOrigin(ActiveCall &call);

/**
 * Removes the targets that the call's stream may not continue on; for a new stream, those of a
 * version that is not settled, if others are left.
 */
void keepCompatibleTargets(ActiveCall &call, std::vector<const TargetRecord *> &targets);

enum class TargetStart : std::uint8_t {
    Confirmed,
    Newer, ///< it may have restarted as another version since its entry was read
    Unanswered, ///< the engine does not say
};

/**
 * Asks the engine for its start before a stream continues there, or begins there after a connection
 * was lost; calls that nobody can resume do not wait for that.
 */
asio::awaitable<TargetStart> confirmTargetStart(ActiveCall &call, const TargetEntry &target);

/** Call when a configuration is put in force: calls of a changed route may go to other services. */
void watchRoutes(GatewayNode &node, bool isFirstConfig);

/** Call when this turns out to be the system's first start. */
void watchFirstRoutes(GatewayNode &node);

/** Checks the versions in service, and reports streams to other VMs. */
asio::awaitable<void> streamOriginLoop(GatewayNode &node);

gateway::v1::OriginsNoted handleOriginReport(GatewayNode &node,
                                             const gateway::v1::OriginNote &report);
gateway::v1::OriginReply handleOriginRequest(GatewayNode &node,
                                             const gateway::v1::OriginRequest &request);

} // namespace monsoonbay
