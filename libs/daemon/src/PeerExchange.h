#pragma once

#include <functional>

#include "Node.h"

namespace monsoonbay {

/** Adds to the next message to a peer, which is sent once the one before was answered or failed. */
void postUpdates(Node &node, VmId to, const std::function<void(v1::PeerNews &)> &add);

/** Adds to the next message to every peer that counts as alive. */
void postToAll(Node &node, const std::function<void(v1::PeerNews &)> &add);

/** Applies a peer's message; the reply carries gossip and the mark of the manifest in force. */
asio::awaitable<v1::PeerNewsReply> takeNews(Node &node, v1::PeerNews news);

/** Probes members, and updates the state that depends on which of them are alive. */
asio::awaitable<void> membershipLoop(Node &node);

v1::RecordReply takeRecord(Node &node, const v1::RecordRequest &request);
v1::FetchManifestReply serveManifest(Node &node, const v1::FetchManifestRequest &request);

} // namespace monsoonbay
