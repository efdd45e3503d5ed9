#include "Feeds.h"
#include "GatewayNode.h"
#include "StreamResuming.h"

#include <string>

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const std::string service = "llm";
constexpr Duration routeTimeout = 6s;
constexpr Duration longUp = 10min;

/** A VM that has been up for long, has its configuration, and has read the list a moment ago. */
struct ListedVersions
{
    explicit ListedVersions(const std::string &software)
        : node(GatewaySettings())
    {
        this->node.bootedAt = BootClock::now() - longUp;
        this->configure(service);
        this->list(software);
    }

    void configure(const std::string &routedService)
    {
        Route route;
        route.name = "stream";
        route.host = "h.example";
        route.pathPrefix = "/stream/";
        route.kind = CallKind::Streaming;
        route.resumable = true;
        route.timeout = routeTimeout;
        route.services = {{routedService, 1}};
        ServingConfig config;
        config.version = 1;
        config.routes = {route};
        this->node.routes = std::make_shared<RouteTable>(std::move(config));
        watchRoutes(this->node, false);
    }

    void list(const std::string &software)
    {
        recordListRead(this->node.targetTable, BootClock::now());
        TargetEntry entry;
        entry.id = "engine-1";
        entry.service = service;
        entry.software = software;
        applyPeerTargets(this->node, {entry});
    }

    /** Whether it knows what began a stream that it never saw, which broke off within the window.
     */
    bool claimsOrigin(Duration window = Duration::zero())
    {
        gateway::v1::OriginRequest request;
        request.set_stream(7);
        request.set_service(service);
        request.set_route("stream");
        request.set_window_ms(static_cast<std::uint32_t>(toMillis(window)));
        return handleOriginRequest(this->node, request).known();
    }

    /** As if the watch, and the route as it is, had begun that long ago. */
    void watchFor(Duration duration)
    {
        this->claimsOrigin();
        this->node.resuming.watch.since = BootClock::now() - duration;
        for (auto &[name, route] : this->node.resuming.routes)
            route.since = BootClock::now() - duration;
    }

    GatewayNode node;
};

} // namespace

// Guards against a VM that has just started, knows no configuration and so no time within which
// streams may come back, and vouches for the only version that it has seen.
Test(resumed_streams, a_vm_without_configuration_claims_no_origin)
{
    ListedVersions vm("v2");
    vm.node.bootedAt = BootClock::now() - 100ms;
    vm.node.routes = std::make_shared<RouteTable>();
    cr_assert_not(vm.claimsOrigin());
}

// Guards against a list of targets that was never read and counts as current.
Test(resumed_streams, a_vm_that_never_read_the_list_claims_no_origin)
{
    ListedVersions vm("v2");
    vm.node.targetTable.lastReadAt = Instant{};
    cr_assert_not(vm.claimsOrigin());
}

// Guards against a service that no route names any more: its streams may still come back.
Test(resumed_streams, a_service_without_routes_has_no_proven_origin)
{
    ListedVersions vm("v2");
    vm.watchFor(longUp);
    vm.configure("another");
    cr_assert_not(vm.claimsOrigin());
}

// Guards against versions that came and left while the list could not be read.
Test(resumed_streams, a_list_that_was_stale_meanwhile_proves_no_origin)
{
    ListedVersions vm("v2");
    vm.watchFor(longUp);
    vm.node.targetTable.lastReadAt = BootClock::now() - 2 * maxListAge;
    vm.claimsOrigin();
    vm.list("v2");
    cr_assert_not(vm.claimsOrigin());
}

// Guards against refusing all streams that are resumed: a VM that has watched for long enough knows
// what began them.
Test(resumed_streams, a_vm_that_watched_without_a_gap_knows_the_only_version)
{
    ListedVersions vm("v2");
    cr_assert_not(vm.claimsOrigin(), "its watch has just begun");
    vm.watchFor(longUp);
    cr_assert(vm.claimsOrigin());
}

// Guards against events of two versions in one stream: VMs that were told at each start that it is
// the system's first vouched for the only version that they had seen, which had replaced another.
Test(resumed_streams, a_start_that_is_not_the_first_proves_no_origin_whatever_it_is_told)
{
    ListedVersions vm("v2");
    vm.node.settings.firstStart = true;
    vm.node.bootedAt = BootClock::now();
    vm.node.resuming.routes.clear();
    watchRoutes(vm.node, true);
    cr_assert_not(vm.claimsOrigin(), "not shown yet");
    vm.node.earlierBoots = EarlierBoots::Seen;
    cr_assert_not(vm.claimsOrigin());
    vm.node.earlierBoots = EarlierBoots::None;
    watchFirstRoutes(vm.node);
    cr_assert(vm.claimsOrigin(), "before the first start there were no streams");
}

// Guards against a version whose targets are leaving: they still run what they have begun.
Test(resumed_streams, a_leaving_target_of_another_version_still_counts)
{
    ListedVersions vm("v2");
    TargetEntry leaving;
    leaving.id = "engine-2";
    leaving.service = service;
    leaving.software = "v1";
    leaving.leaving = true;
    applyPeerTargets(vm.node, {leaving});
    vm.watchFor(longUp);
    cr_assert_not(vm.claimsOrigin());
}

// Guards against a VM that did not run for a while: versions may have come and left meanwhile.
Test(resumed_streams, a_suspended_vm_proves_no_origin)
{
    ListedVersions vm("v2");
    vm.watchFor(longUp);
    vm.node.resuming.watch.checkedAt = BootClock::now() - 2 * maxWatchGap;
    vm.list("v2");
    cr_assert_not(vm.claimsOrigin());
}

// Guards against a caller that waits longer than its route's timeout, as it says when it returns.
Test(resumed_streams, a_caller_that_waited_longer_needs_a_longer_watch)
{
    ListedVersions vm("v2");
    vm.watchFor(2 * routeTimeout);
    cr_assert(vm.claimsOrigin());
    cr_assert_not(vm.claimsOrigin(5 * routeTimeout));
}

// Guards against a route that was moved to another service: what that one's only version is proves
// nothing about streams that began at the former one.
Test(resumed_streams, a_route_that_went_to_another_service_proves_no_origin)
{
    ListedVersions vm("v2");
    vm.configure("another");
    vm.watchFor(longUp);
    vm.configure(service);
    cr_assert_not(vm.claimsOrigin());
}
