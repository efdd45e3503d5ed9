#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** How a probe of a target ended. */
enum class ProbeResult : std::uint8_t {
    Answered, ///< by the target itself, whatever it said
    Unreachable, ///< no connection was made
    Unanswered, ///< the connection ended without an answer, or something else answered
    Silent, ///< no answer in time, which a busy target also causes
};

struct ProbeOutcome
{
    ProbeResult result = ProbeResult::Silent;
    boost::system::error_code error; ///< of the connect, if it is Unreachable
};

/**
 * Asks the target for an answer on a new connection; that proves the link, as an accepted
 * connection may lead nowhere. Where the service names no path for it, a connection has to do. The
 * connection of an answered probe is kept for a later call.
 */
asio::awaitable<ProbeOutcome> probeTarget(GatewayNode &node, TargetEntry target, Duration timeout);

} // namespace monsoonbay
