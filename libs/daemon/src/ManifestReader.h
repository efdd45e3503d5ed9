#pragma once

#include "Node.h"

namespace monsoonbay {

/** Reads the log: manifests, claims of targets, operators' orders. */
asio::awaitable<void> logLoop(Node &node);

/** Reads the platform's VM list. */
asio::awaitable<void> vmListLoop(Node &node);

/** A peer has a manifest in force of that offset; a newer one is fetched from it. */
void fetchIfNewer(Node &node, VmId peer, std::uint64_t offset);

/** Appends a record to a stream of the log; its offset, or 0 if it failed. */
asio::awaitable<std::uint64_t> appendToLog(Node &node, std::string stream, std::string body);

} // namespace monsoonbay
