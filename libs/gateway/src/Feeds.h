#pragma once

#include <set>
#include <string>

#include "ConfigDecoding.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Follows the platform's configuration, versions and list of targets. */
asio::awaitable<void> followPlatform(GatewayNode &node);

/** Takes a configuration unless one as new is in force. `source` is for the log. */
void applyConfig(GatewayNode &node, DecodedConfig decoded, const std::string &source);

/** Decodes a configuration and takes it; false if it cannot be read. */
bool applyPackedConfig(GatewayNode &node, const PackedDocument &packed, const std::string &source);

/** Takes entries of the list from a VM that reads it. */
void applyPeerTargets(GatewayNode &node, std::vector<TargetEntry> entries);

/** A VM that reads the list has told all of it: other targets are gone. */
void dropTargetsUnlistedByPeer(GatewayNode &node, const std::set<std::string> &listed);

/** A VM that reads the list says that this target is gone. */
void dropTargetByPeer(GatewayNode &node, const std::string &target, bool ownRelay);

/** Forgets targets that are gone, now and then. */
asio::awaitable<void> sweepLoop(GatewayNode &node);

} // namespace monsoonbay
