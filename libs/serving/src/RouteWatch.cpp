#include "serving/RouteWatch.h"

#include <algorithm>

namespace monsoonbay {

namespace {

WatchedRoute watchedRouteOf(const Route &route, Instant now)
{
    WatchedRoute watched{route.host, route.pathPrefix, {}, now};
    for (const ServiceShare &share : route.services)
        watched.services.push_back(share.service);
    std::sort(watched.services.begin(), watched.services.end());
    return watched;
}

bool hasSameCalls(const WatchedRoute &left, const WatchedRoute &right)
{
    return left.host == right.host && left.pathPrefix == right.pathPrefix
        && left.services == right.services;
}

/** Calls of the removed route's paths go to the longest of the shorter prefixes now. */
void restartShorterRoutes(RouteWatch &watch, const WatchedRoute &removed, Instant now)
{
    for (auto &[name, route] : watch) {
        if (route.host == removed.host && removed.pathPrefix.starts_with(route.pathPrefix))
            route.since = now;
    }
}

} // namespace

void updateRouteWatch(RouteWatch &watch, const std::vector<Route> &routes, Instant now)
{
    RouteWatch updated;
    for (const Route &route : routes) {
        if (route.kind != CallKind::Streaming)
            continue;
        WatchedRoute watched = watchedRouteOf(route, now);
        const auto before = watch.find(route.name);
        if (before != watch.end() && hasSameCalls(before->second, watched))
            watched.since = before->second.since;
        updated.emplace(route.name, std::move(watched));
    }
    for (const auto &[name, route] : watch) {
        const auto after = updated.find(name);
        if (after == updated.end() || !hasSameCalls(after->second, route))
            restartShorterRoutes(updated, route, now);
    }
    watch = std::move(updated);
}

bool isUnchangedSince(const RouteWatch &watch, const std::string &route, Instant from)
{
    const auto found = watch.find(route);
    return found != watch.end() && found->second.since <= from;
}

} // namespace monsoonbay
