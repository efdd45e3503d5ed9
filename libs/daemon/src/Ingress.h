#pragma once

#include "Node.h"

namespace monsoonbay {

/** Handles one request of a caller, from its arrival to its final answer. */
asio::awaitable<void> handleCaller(Node &node, HttpExchange &exchange);

} // namespace monsoonbay
