#pragma once

#include <deque>
#include <set>
#include <string>
#include <unordered_map>

#include "Signal.h"
#include "serving/ListWatch.h"
#include "serving/RouteWatch.h"
#include "serving/SoftwareVersions.h"
#include "serving/StreamOrigins.h"

namespace monsoonbay {

/** A stream that this VM began and has not reported to any other. */
struct UnreportedStream
{
    StreamId id = 0;
    std::string service;
    bool onChangedRoute = false; ///< its route had other services a short time before

    auto operator<=>(const UnreportedStream &) const = default;
};

/** What this VM knows of streams that callers may resume. */
struct ResumeState
{
    explicit ResumeState(asio::io_context &context)
        : due(context)
    { }

    StreamOrigins origins; ///< of streams begun here, and of those reported by other VMs
    std::deque<UnreportedStream> unreported; ///< oldest first
    std::unordered_map<std::string, SoftwareVersions> versions; ///< by service
    std::set<std::string> ambiguousServices; ///< services whose streams are reported to other VMs
    ListWatch watch; ///< of the list that names the versions
    RouteWatch routes;
    Instant firstConfigAt{}; ///< when the first configuration of this boot came into force
    Duration longestTimeout{}; ///< longest wait that the caller of a stream has named
    Signal due;
};

} // namespace monsoonbay
