#include "EngineCommands.h"
#include "GatewayNode.h"
#include "PeerCodec.h"
#include "PeerExchange.h"
#include "SharedEngines.h"

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

template <typename Message> Message roundTrip(const Message &message)
{
    Message read;
    cr_assert(read.ParseFromString(message.SerializeAsString()));
    return read;
}

GatewaySettings settingsOfVm()
{
    GatewaySettings settings;
    settings.placement.keepDeclines = true;
    settings.placement.awaitLoads = true;
    return settings;
}

} // namespace

// Guards against a retry time or reason that is lost between two VMs, and against reading the
// answer of a VM of the previous version, which has neither, as "retry at once".
Test(load_replies, a_decline_carries_reason_and_retry_time)
{
    const LoadDecline decline{DeclineReason::QueueTooLong, 142'300us};
    gateway::v1::LoadReply reply;
    reply.set_outcome(gateway::v1::LOAD_OUTCOME_NO_SLOT);
    encodeDecline(decline, reply);
    const gateway::v1::LoadReply read = roundTrip(reply);
    cr_assert(read.outcome() == gateway::v1::LOAD_OUTCOME_NO_SLOT);
    const LoadDecline decoded = decodeDecline(read);
    cr_assert(decoded.reason == DeclineReason::QueueTooLong);
    cr_assert(decoded.retryIn == 143ms, "rounded up");
    const LoadDecline previous = decodeDecline(roundTrip(gateway::v1::LoadReply()));
    cr_assert(previous == LoadDecline());
    cr_assert(backoffAfter(previous, Instant{} + 1s).until > Instant{} + 1s);
}

// Guards against a rank that is lost on its way to the lease holder, which sorts loads by it.
Test(load_replies, a_load_request_carries_the_rank_of_its_call)
{
    gateway::v1::LoadRequest request;
    encodeRank(2, request);
    cr_assert_eq(decodeRank(roundTrip(request)), 2);
    cr_assert_eq(decodeRank(gateway::v1::LoadRequest()), 0);
}

// Guards against a backoff set by the previous lease holder that keeps calls from the new one.
Test(load_replies, a_new_holder_is_asked_at_once)
{
    GatewayNode node(settingsOfVm());
    EngineRecord record;
    record.holder = {"10.0.0.2", 7380};
    record.holderLive = true;
    record.revision = {1, 1, 1};
    applyEngineRecord(node, "e", record);
    LoadBackoff &backoff = runtimeOf(node, "e").loadBackoff;
    backoff = backoffAfter({DeclineReason::NoSlot, 800ms}, BootClock::now());
    ++record.revision.count;
    applyEngineRecord(node, "e", record);
    cr_assert(backoff != LoadBackoff(), "another update of the same holder");
    cr_assert(!mayRequestLoad(node, "e", 300ms));
    record.holder = {"10.0.0.3", 7380};
    ++record.revision.generation;
    applyEngineRecord(node, "e", record);
    cr_assert(backoff == LoadBackoff());
}

// Guards against a second load of an adapter that another engine has just begun to load, because
// its name does not reach other VMs, or reaches them without a time.
Test(load_replies, loads_in_progress_are_reported_with_the_engine)
{
    GatewayNode node(settingsOfVm());
    EngineRecord record;
    record.holder = {"10.0.0.2", 7380};
    record.holderLive = true;
    record.revision = {1, 1, 1};
    record.fetchMs = 300;
    record.incoming = {"m/a", "m/b"};
    gateway::v1::EngineState state;
    encodeEngine("e", record, state);
    const EngineRecord read = decodeEngine(roundTrip(state));
    cr_assert(read == record);
    cr_assert(!loadUnderWay(node, "e", "m/a", 300ms));
    addPeer(node, record.holder, {"vm-2", "zone-a", 1});
    applyEngineRecord(node, "e", read);
    const auto left = loadUnderWay(node, "e", "m/a", 300ms);
    cr_assert(left && *left > 0ms && *left <= 300ms);
    cr_assert(!loadUnderWay(node, "e", "m/c", 300ms));
    node.loadsInFlight[{"e", "m/c"}] = std::make_shared<LoadInFlight>(node.context);
    cr_assert(loadUnderWay(node, "e", "m/c", 120ms) == Duration(120ms), "requested by this VM");
    // The lease holder is gone, so the end of the load would not be reported.
    record.holderLive = false;
    ++record.revision.count;
    applyEngineRecord(node, "e", record);
    cr_assert(!loadUnderWay(node, "e", "m/a", 300ms));
}
