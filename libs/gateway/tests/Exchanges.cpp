#include "GatewayNode.h"
#include "PeerExchange.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

namespace {

namespace v1 = gateway::v1;

const Endpoint peerAddress{"127.0.0.2", 7000};

GatewaySettings ownSettings()
{
    GatewaySettings settings;
    settings.vm = "vm-1";
    settings.zone = "zone-a";
    settings.peers = {"127.0.0.1", 7000};
    return settings;
}

void describePeer(std::uint64_t boot, v1::Vm &vm)
{
    vm.set_name("vm-2");
    vm.set_zone("zone-a");
    vm.set_address(peerAddress.address);
    vm.set_port(peerAddress.port);
    vm.set_boot(boot);
}

v1::Report reportOf(std::uint64_t boot, std::uint64_t sequence)
{
    v1::Report report;
    describePeer(boot, *report.mutable_from());
    report.set_sequence(sequence);
    return report;
}

} // namespace

// Guards against a restarted VM that refuses nearly all callers and keeps an old configuration for
// a quarter of a minute. The relay asked it before its first report, took the new boot from the
// answer but kept the former boot's sequence, and so dropped the reports, numbered anew, as old.
Test(exchanges, reports_of_a_new_boot_count_from_its_first_message)
{
    GatewayNode node(ownSettings());
    cr_assert(answerReport(node, reportOf(1, 500)).complete());
    v1::Digest answer;
    describePeer(2, *answer.mutable_from());
    applyDigest(node, peerAddress, answer, false);
    cr_assert(answerReport(node, reportOf(2, 1)).complete(), "accepted, and answered in full");
    cr_assert(!answerReport(node, reportOf(2, 1)).complete(), "an older report is dropped");
    cr_assert(answerReport(node, reportOf(2, 2)).complete());
}
