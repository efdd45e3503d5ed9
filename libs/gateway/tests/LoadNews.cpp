#include "EngineOrders.h"
#include "GatewayNode.h"
#include "NewsCodec.h"
#include "SharedEngines.h"

#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

gateway::v1::LoadReply overTheWire(const gateway::v1::LoadReply &reply)
{
    gateway::v1::LoadReply read;
    cr_assert(read.ParseFromString(reply.SerializeAsString()));
    return read;
}

} // namespace

// Guards against a time or reason that gets lost between two VMs, or a VM of the former version
// whose answer, without them, is taken for "at once".
Test(load_news, a_decline_tells_reason_and_time)
{
    const LoadDecline decline{DeclineReason::QueueTooLong, 142'300us};
    gateway::v1::LoadReply reply;
    reply.set_outcome(gateway::v1::LOAD_OUTCOME_NO_SLOT);
    encodeDecline(decline, reply);
    const gateway::v1::LoadReply read = overTheWire(reply);
    cr_assert(read.outcome() == gateway::v1::LOAD_OUTCOME_NO_SLOT);
    const LoadDecline told = decodeDecline(read);
    cr_assert(told.reason == DeclineReason::QueueTooLong);
    cr_assert(told.retryIn == 143ms, "rounded up");
    const LoadDecline former = decodeDecline(overTheWire(gateway::v1::LoadReply()));
    cr_assert(former == LoadDecline());
    cr_assert(markAfter(former, Instant{} + 1s).until > Instant{} + 1s);
}

// Guards against a mark by the former holder of an engine that keeps calls from the new one.
Test(load_news, a_new_holder_is_asked_at_once)
{
    GatewayNode node((GatewaySettings()));
    EngineRecord record;
    record.holder = {"10.0.0.2", 7380};
    record.holderLive = true;
    record.revision = {1, 1, 1};
    takeEngineRecord(node, "e", record);
    LoadMark &mark = runtimeOf(node, "e").loadMark;
    mark = markAfter({DeclineReason::NoSlot, 800ms}, BootClock::now());
    ++record.revision.count;
    takeEngineRecord(node, "e", record);
    cr_assert(mark != LoadMark(), "other news of the same holder");
    cr_assert(!mayAskLoad(node, "e", 300ms));
    record.holder = {"10.0.0.3", 7380};
    ++record.revision.generation;
    takeEngineRecord(node, "e", record);
    cr_assert(mark == LoadMark());
}
