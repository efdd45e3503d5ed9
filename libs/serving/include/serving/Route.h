#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** What may be repeated of a call. */
enum class CallKind : std::uint8_t {
    Idempotent, ///< may run more than once
    NonIdempotent, ///< runs at most once for each attempt of the caller
    Streaming, ///< answered by a series of events; repeated only where it may be resumed
};

/** A share of a route's traffic and the service that takes it. */
struct ServiceShare
{
    std::string service;
    double weight = 1;

    auto operator<=>(const ServiceShare &) const = default;
};

/** Which service answers the calls below a host and a path, and how. */
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    CallKind kind = CallKind::Idempotent;
    bool resumable = false; ///< a broken stream may go on at another target
    bool unauthenticated = false; ///< calls need no key
    bool sharedPrefixes = false; ///< calls share the beginnings of their prompts
    Duration timeout{}; ///< longest time a caller is kept waiting
    Duration latencyObjective{}; ///< to the whole answer, or to a stream's first event
    Duration gapObjective{}; ///< longest pause between the events of a stream
    int priority = 0; ///< 0 goes first
    int maxAttempts = 1; ///< targets that one attempt of the caller may be sent to
    std::vector<ServiceShare> services;

    auto operator<=>(const Route &) const = default;
};

/** True if a call of this route may run a second time. */
bool mayRetry(const Route &route) noexcept;

} // namespace monsoonbay
