#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/Time.h"
#include "serving/Route.h"

namespace monsoonbay {

/** The services of a route, and since when its calls have gone to these alone. */
struct WatchedRoute
{
    std::string host;
    std::string pathPrefix;
    std::vector<std::string> services;
    Instant since{};

    auto operator<=>(const WatchedRoute &) const = default;
};

/** Routes of streams, by name, as this VM has seen them change. */
using RouteWatch = std::map<std::string, WatchedRoute>;

/**
 * Applies the routes of a new configuration. Those that are new, have other services, or take over
 * the paths of a route that is gone, are watched from `now` on.
 */
void updateRouteWatch(RouteWatch &watch, const std::vector<Route> &routes, Instant now);

/** True if the calls of the route have gone to the same services for the whole time since `from`.
 */
bool isUnchangedSince(const RouteWatch &watch, const std::string &route, Instant from);

} // namespace monsoonbay
