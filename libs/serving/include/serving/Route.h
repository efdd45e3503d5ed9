#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** Retry behaviour of a route's calls. */
enum class CallKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of the caller
    Streaming, ///< answered by an event stream; retried only if the stream can be resumed
};

/** A service and its weight in the traffic split of a route. */
struct ServiceShare
{
    std::string service;
    double weight = 1;

    auto operator<=>(const ServiceShare &) const = default;
};

/** Maps calls by host and path prefix to services, with the limits that hold for them. */
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    CallKind kind = CallKind::Idempotent;
    bool resumable = false; ///< a broken stream may continue at another target
    bool unauthenticated = false; ///< calls need no API key
    bool sharedPrefixes = false; ///< calls share prompt prefixes
    Duration timeout{}; ///< longest time that a caller is kept waiting
    Duration latencyObjective{}; ///< to the complete answer, or to the first event of a stream
    Duration gapObjective{}; ///< longest pause between two events of a stream
    int priority = 0; ///< 0 is the most urgent
    int maxAttempts = 1; ///< targets that one attempt of the caller may be sent to
    std::vector<ServiceShare> services;

    auto operator<=>(const Route &) const = default;
};

/** True if a call of this route may run a second time. */
bool mayRetry(const Route &route) noexcept;

} // namespace monsoonbay
