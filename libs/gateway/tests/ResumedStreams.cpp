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

    /** Whether it knows what began a stream that it never saw. */
    bool claimsOrigin()
    {
        gateway::v1::OriginRequest request;
        request.set_stream(7);
        request.set_service(service);
        return handleOriginRequest(this->node, request).known();
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
    vm.configure("another");
    cr_assert_not(vm.claimsOrigin());
}

// Guards against versions that came and left while the list could not be read.
Test(resumed_streams, a_list_that_was_stale_meanwhile_proves_no_origin)
{
    ListedVersions vm("v2");
    vm.claimsOrigin();
    vm.node.targetTable.lastReadAt = BootClock::now() - 2 * maxListAge;
    vm.claimsOrigin();
    vm.list("v2");
    cr_assert_not(vm.claimsOrigin());
}
