#pragma once

#include <functional>

#include "Node.h"

namespace monsoonbay {

/** Adds to the next message to a peer and sends it as soon as the one before is through. */
void postUpdates(Node &node, VmId to, const std::function<void(v1::PeerNews &)> &add);

/** Adds to the next message to every peer that counts as alive. */
void postToAll(Node &node, const std::function<void(v1::PeerNews &)> &add);

/** Takes a message of a peer; the reply carries gossip and the manifest in force here. */
asio::awaitable<v1::PeerNewsReply> takeNews(Node &node, v1::PeerNews news);

/** Probes members, spreads what they tell, and keeps the views that depend on who is alive. */
asio::awaitable<void> membershipLoop(Node &node);

v1::RecordReply takeRecord(Node &node, const v1::RecordRequest &request);
v1::FetchManifestReply serveManifest(Node &node, const v1::FetchManifestRequest &request);

} // namespace monsoonbay
