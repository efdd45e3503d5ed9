#include "serving/EngineLog.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace monsoonbay;

namespace {

EngineRecord recordOf(int slots, std::int64_t count)
{
    EngineRecord record;
    record.holder = {"10.0.0.1", 7380};
    record.revision.count = count;
    for (int slot = 0; slot < slots; ++slot)
        record.resident["adapter" + std::to_string(slot)] = 1;
    return record;
}

/** The record after a random change of one of its parts. */
EngineRecord changed(EngineRecord record)
{
    const std::string adapter = "adapter" + std::to_string(*rc::gen::inRange(0, 100));
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        record.resident.erase(adapter);
        break;
    case 1:
        record.holder = {"10.0.0." + std::to_string(*rc::gen::inRange(1, 4)), 7380};
        break;
    case 2:
        record.startTime = *rc::gen::inRange(0, 3);
        record.resident.clear();
        break;
    default:
        record.resident[adapter] = *rc::gen::inRange(1, 4);
        break;
    }
    ++record.revision.count;
    return record;
}

} // namespace

// Guards against deltas that leave a reader with residents that the engine does not have.
Test(engine_log, readers_that_skip_deltas_still_get_the_record)
{
    const bool holds = rc::check([] {
        EngineLog log;
        ChangeCounter counter;
        EngineRecord record = recordOf(8, 1);
        log.set("e", record, counter);
        std::optional<EngineRecord> known;
        std::uint64_t seen = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            record = changed(record);
            log.set("e", record, counter);
            if (*rc::gen::inRange(0, 4) > 0)
                continue;
            known = applyDocumentDelta(known ? &*known : nullptr, log.changeSince("e", seen));
            seen = counter.last;
            RC_ASSERT(known == record);
        }
    });
    cr_assert(holds);
}

// Guards against applying a delta to another record than the one that it was made for.
Test(engine_log, a_reader_with_another_record_needs_the_whole)
{
    EngineLog log;
    ChangeCounter counter;
    log.set("e", recordOf(8, 1), counter);
    const std::uint64_t seen = counter.last;
    log.set("e", recordOf(9, 2), counter);
    const EngineChange change = log.changeSince("e", seen);
    cr_assert_not(change.isSnapshot);
    cr_assert(!applyDocumentDelta(nullptr, change));
    const EngineRecord other = recordOf(3, 1);
    cr_assert(!applyDocumentDelta(&other, change));
    cr_assert(applyDocumentDelta(&other, log.changeSince("e", 0)) == recordOf(9, 2));
}

// Guards against sending the whole record to all VMs for each slot that changes.
Test(engine_log, a_delta_has_only_the_changed_slots)
{
    EngineLog log;
    ChangeCounter counter;
    EngineRecord record = recordOf(11, 1);
    log.set("e", record, counter);
    const std::uint64_t seen = counter.last;
    record.resident.erase("adapter3");
    record.resident["adapter11"] = 1;
    log.set("e", record, counter);
    const EngineChange change = log.changeSince("e", seen);
    cr_assert_eq(change.record.resident, (ResidentVersions{{"adapter11", 1}}));
    cr_assert_eq(change.removed, std::vector<std::string>{"adapter3"});
    cr_assert(change.sameHeader);
}
