#pragma once

#include "Node.h"

namespace monsoonbay {

/** Answers the operators' address: health, readiness, metrics, status, explain, drain. */
asio::awaitable<void> handleOperator(Node &node, HttpExchange &exchange);

} // namespace monsoonbay
