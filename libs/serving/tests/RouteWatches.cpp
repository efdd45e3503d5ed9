#include "serving/RouteWatch.h"

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1h;

Route streamRoute(const std::string &name, const std::string &prefix, const std::string &service)
{
    Route route;
    route.name = name;
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.kind = CallKind::Streaming;
    route.services = {{service, 1}};
    return route;
}

} // namespace

// Guards against a watch that starts again with each configuration, so that nothing is ever proved.
Test(route_watches, a_route_that_stays_is_watched_on)
{
    RouteWatch watch;
    updateRouteWatch(watch, {streamRoute("a", "/a/", "one")}, start);
    updateRouteWatch(watch, {streamRoute("a", "/a/", "one"), streamRoute("b", "/a/b/", "two")},
                     start + 9s);
    cr_assert(isUnchangedSince(watch, "a", start));
    cr_assert_not(isUnchangedSince(watch, "b", start + 8s));
    cr_assert(isUnchangedSince(watch, "b", start + 9s));
}

// Guards against streams of one service that are resumed at another after their route was moved.
Test(route_watches, a_moved_route_is_watched_anew)
{
    RouteWatch watch;
    updateRouteWatch(watch, {streamRoute("a", "/a/", "one")}, start);
    updateRouteWatch(watch, {streamRoute("a", "/a/", "two")}, start + 9s);
    cr_assert_not(isUnchangedSince(watch, "a", start + 8s));
    updateRouteWatch(watch, {}, start + 10s);
    cr_assert_not(isUnchangedSince(watch, "a", start + 20s));
}

// Guards against the same where a route is removed, and a shorter prefix takes over its paths.
Test(route_watches, a_route_that_takes_over_the_paths_of_another_is_watched_anew)
{
    RouteWatch watch;
    const Route wide = streamRoute("wide", "/a/", "one");
    const Route other = streamRoute("other", "/c/", "one");
    updateRouteWatch(watch, {wide, other, streamRoute("narrow", "/a/b/", "two")}, start);
    updateRouteWatch(watch, {wide, other}, start + 9s);
    cr_assert_not(isUnchangedSince(watch, "wide", start + 8s));
    cr_assert(isUnchangedSince(watch, "other", start));
}
