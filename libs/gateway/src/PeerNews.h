#pragma once

#include "GatewayNode.h"

namespace monsoonbay {

/** Adds a gateway to those that are told news; `zone` is empty if it is not known. */
void addPeer(GatewayNode &node, const Endpoint &endpoint, const std::string &zone);

/** Takes what a peer tells. */
gateway::v1::NewsReply takeNews(GatewayNode &node, const gateway::v1::News &news);

/** Tells all peers what changed here, regularly and soon after a change. */
asio::awaitable<void> newsLoop(GatewayNode &node);

/** Tells the peers whose turn it is; all of them if there is something urgent. */
void tellAll(GatewayNode &node);

/** Something that every VM has to know at once has changed. */
void tellUrgently(GatewayNode &node);

} // namespace monsoonbay
