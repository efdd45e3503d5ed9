#include "CallRun.h"
#include "GatewayNode.h"
#include "LinkWatch.h"
#include "TargetEnds.h"

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

/** A VM with these targets of one service; `goods`: good answers that others tell of each. */
void listTargets(GatewayNode &node, int targets, int goods)
{
    node.book.lastRead = BootClock::now();
    for (int index = 0; index < targets; ++index) {
        TargetEntry entry;
        entry.id = "t" + std::to_string(index);
        entry.service = "engines";
        entry.endpoint = {"127.0.0.1", 1}; // nobody listens there
        noteListed(node.book, entry);
        node.upstream.others[entry.id].goods = goods;
    }
}

} // namespace

// Guards against a cut VM whose own failures tell other VMs that sound targets fail.
Test(link_watch, a_vm_that_lost_its_links_knows_it_and_keeps_its_sights_to_itself)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 30);
    noteLinkFailed(node, "t0");
    cr_assert(!areLinksLost(node, "engines"));
    cr_assert(isLinkToBlame(node, "t0", BootClock::now()));
    noteLinkFailed(node, "t1");
    cr_assert(areLinksLost(node, "engines"));
    cr_assert(isSightDoubtful(node, "t4"));
    cr_assert(!areLinksLost(node, "other"));
}

// Guards against a hop for each call while targets are down for all VMs.
Test(link_watch, targets_that_fail_for_others_too_are_not_the_links_fault)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, 0);
    for (const char *target : {"t0", "t1", "t2", "t3", "t4"})
        noteLinkFailed(node, target);
    cr_assert(!areLinksLost(node, "engines"));
    cr_assert(!isLinkToBlame(node, "t0", BootClock::now()));
}

namespace {

/** Ends of targets that a VM tells of after it has lost calls at two that refuse connections. */
std::size_t endsTold(int othersGood)
{
    GatewayNode node((GatewaySettings()));
    listTargets(node, 5, othersGood);
    boost::beast::tcp_stream caller(node.context);
    CallRun run(node, caller, HttpRequest());
    noteLostCall(run, "t0");
    noteLostCall(run, "t1");
    node.context.run_for(400ms);
    return node.facts.evidence.all().size();
}

} // namespace

// Guards against calls that all VMs refuse as harmful, because a cut VM lost them at its own links.
Test(link_watch, calls_lost_at_cut_links_are_no_evidence_against_them)
{
    cr_assert_eq(endsTold(30), 0);
    cr_assert_eq(endsTold(0), 2, "targets that fail for all have ended");
}
