#pragma once

#include <set>
#include <string>

#include "ConfigDecoding.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Subscribes to the platform's configuration, adapter versions and target list. */
asio::awaitable<void> followPlatform(GatewayNode &node);

/** Applies a configuration unless one as new is in force. `source` is for the log. */
void applyConfig(GatewayNode &node, DecodedConfig decoded, const std::string &source);

/** Decodes and applies a configuration; false if it cannot be decoded. */
bool applyPackedConfig(GatewayNode &node, const PackedDocument &packed, const std::string &source);

/** Applies entries of the target list that a peer sent. */
void applyPeerTargets(GatewayNode &node, std::vector<TargetEntry> entries);

/** A peer that reads the list has sent all of it: removes the targets that are not in `listed`. */
void dropTargetsUnlistedByPeer(GatewayNode &node, const std::set<std::string> &listed);

/** A peer reports that this target was removed. `ownRelay`: the peer is this VM's relay. */
void dropTargetByPeer(GatewayNode &node, const std::string &target, bool ownRelay);

/** Periodically removes targets that are gone, and expired evidence and prefixes. */
asio::awaitable<void> sweepLoop(GatewayNode &node);

} // namespace monsoonbay
