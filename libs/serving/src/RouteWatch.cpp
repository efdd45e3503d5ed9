#include "serving/RouteWatch.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace monsoonbay {

namespace {

bool hasSameCalls(const WatchedRoute &watched, const Route &route)
{
    const auto isSame = [](const std::string &service, const ServiceShare &share) {
        return service == share.service;
    };
    return watched.host == route.host && watched.pathPrefix == route.pathPrefix
        && std::equal(watched.services.begin(), watched.services.end(), route.services.begin(),
                      route.services.end(), isSame);
}

WatchedRoute watchedRouteOf(const Route &route, Instant now)
{
    WatchedRoute watched{route.host, route.pathPrefix, {}, now};
    for (const ServiceShare &share : route.services)
        watched.services.push_back(share.service);
    return watched;
}

using RoutesByPath = std::map<std::pair<std::string_view, std::string_view>, WatchedRoute *>;

RoutesByPath indexByPath(RouteWatch &watch)
{
    RoutesByPath index;
    for (auto &[name, route] : watch)
        index[{route.host, route.pathPrefix}] = &route;
    return index;
}

// Calls of the removed route's paths go to the longest of the shorter prefixes now. Prefixes end
// with a slash, so that the shorter ones are found without comparing all routes.
void restartShorterRoutes(const RoutesByPath &index, const WatchedRoute &removed, Instant now)
{
    std::string_view prefix = removed.pathPrefix;
    while (!prefix.empty()) {
        const auto found = index.find({removed.host, prefix});
        if (found != index.end())
            found->second->since = now;
        prefix.remove_suffix(1);
        prefix = prefix.substr(0, prefix.rfind('/') + 1);
    }
}

} // namespace

void updateRouteWatch(RouteWatch &watch, const std::vector<Route> &routes, Instant now)
{
    RouteWatch removed = std::exchange(watch, {});
    for (const Route &route : routes) {
        if (route.kind != CallKind::Streaming)
            continue;
        const auto before = removed.find(route.name);
        if (before != removed.end() && hasSameCalls(before->second, route))
            watch.insert(removed.extract(before));
        else
            watch.emplace(route.name, watchedRouteOf(route, now));
    }
    if (removed.empty())
        return;
    const RoutesByPath index = indexByPath(watch);
    for (const auto &[name, route] : removed)
        restartShorterRoutes(index, route, now);
}

bool isUnchangedSince(const RouteWatch &watch, const std::string &route, Instant from)
{
    const auto found = watch.find(route);
    return found != watch.end() && found->second.since <= from;
}

} // namespace monsoonbay
