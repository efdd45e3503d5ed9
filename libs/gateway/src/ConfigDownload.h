#pragma once

#include "Gateway.pb.h"
#include "GatewayNode.h"

namespace monsoonbay {

/** Answers another VM's request for a part of this VM's configuration. */
gateway::v1::ConfigPart answerConfigRequest(GatewayNode &node,
                                            const gateway::v1::ConfigRequest &request);

/** Records that a peer has this version in force. */
void recordConfigOffer(GatewayNode &node, PeerState &peer, std::int64_t version);

/** True if a peer has reported a newer configuration than this VM's. */
bool isNewerConfigOffered(const GatewayNode &node);

/** The next request to send to a peer. */
gateway::v1::ConfigRequest nextConfigRequest(const GatewayNode &node);

/** Adds a part that a peer sent. After the last one, the configuration is decoded and applied. */
void applyConfigPart(GatewayNode &node, PeerState &peer, const gateway::v1::ConfigPart &answer);

/** The peer to download from; null: no peer with a newer configuration may be asked now. */
const PeerState *chooseConfigSource(const GatewayNode &node, Instant now);

/** Downloads newer configurations from peers for as long as the gateway runs. */
asio::awaitable<void> readConfigLoop(GatewayNode &node);

} // namespace monsoonbay
