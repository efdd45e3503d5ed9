#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "standins/FaultInjector.h"
#include "transport/HttpServer.h"

namespace monsoonbay::standins {

using Json = nlohmann::json;

HttpReply jsonReply(int status, const Json &body);

/** {"error": text}. A separate function, since GCC 12 rejects braces in co_await expressions. */
HttpReply errorReply(int status, const char *error);

/** Value of a query parameter, or the default if it is missing or not a number. */
std::uint64_t queryNumber(std::string_view target, std::string_view key,
                          std::uint64_t defaultValue);

/** Path of a request target without its query. */
std::string_view pathOf(std::string_view target);

/**
 * Handles the body {"fault": kind, "times": n, "ms": parameter} of POST /control. The reply
 * confirms the fault and its times.
 */
HttpReply handleFaultRequest(FaultInjector &faults, const std::string &body);

asio::awaitable<void> sleepMs(double milliseconds);

} // namespace monsoonbay::standins
