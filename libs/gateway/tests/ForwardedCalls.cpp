#include "CallAnswer.h"
#include "ForwardedCall.h"
#include "GatewayNode.h"
#include "PeerForwarding.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

namespace {

namespace http = boost::beast::http;

ForwardedCall someCall()
{
    ForwardedCall call;
    call.configVersion = 12;
    call.service = "engines";
    call.workspace = "färjan \"north\"";
    call.key = digestOfKey("key-1");
    call.units = 1460;
    call.callerAddress = "10.9.0.3";
    call.waited = std::chrono::milliseconds(35);
    call.runs = 1;
    call.hasBody = true;
    return call;
}

} // namespace

// Guards against fields that a forwarded call loses on its way to the other VM.
Test(forwarded_calls, what_is_written_is_read)
{
    RequestHead head;
    ForwardedCall call = someCall();
    writeForwardedCall(head, call);
    cr_assert(readForwardedCall(head) == call);
    call.key.reset();
    call.workspace.clear();
    writeForwardedCall(head, call);
    cr_assert(readForwardedCall(head) == call);
    eraseForwardedCall(head);
    cr_assert(!readForwardedCall(head));
}

// Guards against a malformed header that ends the VM or is served as a call.
Test(forwarded_calls, a_malformed_header_is_no_call)
{
    for (const char *value : {"", "{}", "[1]", "{\"service\":3}", "\xff", "{\"configVersion\":"}) {
        RequestHead head;
        head.set("Monsoonbay-Forwarded", value);
        cr_assert(!readForwardedCall(head), "%s", value);
        cr_assert_eq(admitForwarded(GatewayNode(GatewaySettings()), readForwardedCall(head)),
                     ForwardRefusal::Malformed);
    }
}

// Guards against a target whose headers claim, as a VM's, that a call has not run.
Test(forwarded_calls, a_target_cannot_set_the_headers_of_a_vm)
{
    ResponseHead head;
    head.set("Monsoonbay-Outcome", "not-run");
    head.set("Monsoonbay-Runs", "7");
    const ForwardReport fromTarget{ForwardOutcome::FromTarget, 2};
    writeForwardReport(head, fromTarget);
    cr_assert(readForwardReport(head) == fromTarget);
    for (const ForwardOutcome outcome : {ForwardOutcome::NotRun, ForwardOutcome::MayHaveRun}) {
        const ForwardReport own{outcome, 1};
        writeForwardReport(head, own);
        cr_assert(readForwardReport(head) == own);
    }
}

// Guards against a VM that refuses calls because it has few of its own: it has just started, or its
// callers have left it, and it is the only one with links.
Test(forwarded_calls, a_vm_with_few_own_calls_accepts_those_of_several_vms)
{
    GatewayNode node((GatewaySettings()));
    ForwardedCall call = someCall();
    call.configVersion = node.routes->config().version;
    node.forwardedInFlight = 60;
    node.callsInFlight = 60;
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::None);
}

// Guards against calls that go in a circle among VMs that have lost their links, or are served by
// another configuration than the first VM's. A VM with too many forwarded calls, or one that is
// about to end, refuses more of them, too.
Test(forwarded_calls, a_vm_that_cannot_serve_a_call_refuses_it)
{
    GatewayNode node((GatewaySettings()));
    ForwardedCall call = someCall();
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::ConfigMismatch);
    call.configVersion = node.routes->config().version;
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::None);
    node.serviceLinks["other"].lost = true;
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::None);
    node.serviceLinks["engines"].lost = true;
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::LinksLost);
    node.serviceLinks.clear();
    node.forwardedInFlight = 144;
    node.callsInFlight = 154;
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::Busy);
    node.forwardedInFlight = 0;
    node.shuttingDown = true;
    node.callsEndBy = BootClock::now() + std::chrono::seconds(1);
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::Stopping);
    node.callsEndBy = BootClock::now() + std::chrono::seconds(60);
    cr_assert_eq(admitForwarded(node, call), ForwardRefusal::None);
}

namespace {

asio::awaitable<void> offerToPeers(ActiveCall &call, AttemptResult &result)
{
    CallAnswer answer(call);
    result = co_await forwardCall(call, answer);
}

struct OfferedCall
{
    AttemptResult end = AttemptResult::Done;
    bool nextIsOffered = false; ///< the next call of the service is offered as well
};

/** A call of a VM that has lost most of its links, and that knows no other VM. */
OfferedCall offerWithoutPeers(bool partlyReached)
{
    GatewaySettings settings;
    settings.forwards = Endpoint{"127.0.0.1", 1};
    GatewayNode node(settings);
    recordLoss(node.serviceLinks["engines"], BootClock::now());
    node.serviceLinks["engines"].partlyReached = partlyReached;
    boost::beast::tcp_stream caller(node.context);
    ActiveCall call(node, caller, HttpRequest());
    call.service = "engines";
    cr_assert(shouldForwardToPeer(call));
    OfferedCall result;
    spawn(node, "offer", offerToPeers(call, result.end));
    node.context.run_for(std::chrono::milliseconds(100));
    result.nextIsOffered = shouldForwardToPeer(call);
    return result;
}

} // namespace

// Guards against VMs of a zone that is cut off, and that therefore lack most targets, which refuse
// their calls although they reach those of their own zone.
Test(forwarded_calls, a_vm_that_reaches_some_targets_serves_itself_if_nobody_else_does)
{
    const OfferedCall some = offerWithoutPeers(true);
    cr_assert_eq(some.end, AttemptResult::Unreachable, "it goes on here");
    cr_assert(!some.nextIsOffered);
    const OfferedCall none = offerWithoutPeers(false);
    cr_assert_eq(none.end, AttemptResult::Refused);
    cr_assert(none.nextIsOffered);
}
