#pragma once

#include "Node.h"

namespace monsoonbay {

/** Reads the log: manifests, claims of targets, operators' drains. */
asio::awaitable<void> logLoop(Node &node);

/** Reads the platform's VM list. */
asio::awaitable<void> vmListLoop(Node &node);

/** Fetches the manifest that a peer has in force, if its offset is newer than that of this VM. */
void fetchIfNewer(Node &node, VmId peer, std::uint64_t offset);

/** Appends a record to a stream of the log; returns its offset, or 0 if that failed. */
asio::awaitable<std::uint64_t> appendToLog(Node &node, std::string stream, std::string body);

} // namespace monsoonbay
