#pragma once

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** The part of this VM's configuration that another VM asks for. */
gateway::v1::ConfigPart answerConfigRequest(GatewayNode &node,
                                            const gateway::v1::ConfigRequest &request);

/** A peer says that it has this version in force. */
void recordConfigOffer(GatewayNode &node, PeerState &peer, std::int64_t version);

/** True if another VM has a newer configuration than this one. */
bool isNewerConfigOffered(const GatewayNode &node);

/** What to ask a peer for next. */
gateway::v1::ConfigRequest nextConfigRequest(const GatewayNode &node);

/** Adds a part that a peer sent; the last one has the configuration decoded and put in force. */
void applyConfigPart(GatewayNode &node, PeerState &peer, const gateway::v1::ConfigPart &answer);

/** The peer to read from next; null: none that may be asked now has a newer configuration. */
const PeerState *chooseConfigSource(const GatewayNode &node, Instant now);

/** Reads the configuration from peers that have a newer one. */
asio::awaitable<void> readConfigLoop(GatewayNode &node);

} // namespace monsoonbay
