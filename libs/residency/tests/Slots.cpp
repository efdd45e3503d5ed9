// The owner's table of an engine's slots never evicts an adapter under a running request.

#include <map>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "residency/SlotTable.h"

using namespace monsoonbay;

namespace {

AdapterRef adapterOf(int number)
{
    return {"a" + std::to_string(number), "1"};
}

/** A minimal model of the engine: what is in its slots and what runs there. */
struct EngineModel
{
    std::uint64_t epoch = 1;
    std::map<int, int> running; ///< by resident adapter
    int loading = -1;

    SlotReport report(Instant askedAt) const
    {
        SlotReport report;
        report.epoch = this->epoch;
        report.askedAt = askedAt;
        for (const auto &[adapter, count] : this->running)
            report.resident.push_back({adapterOf(adapter), count});
        return report;
    }
};

struct PinnedRequest
{
    int adapter;
    SlotPin pin;
    std::uint64_t epoch;
    bool connectionBroken = false;
};

} // namespace

// Guards against evicting an adapter under a running request, which breaks off its answer, as by a
// pin that is lost or released twice. Runs random sequences of requests, broken connections, loads,
// restarts and late reports.
Test(slots, never_evict_what_the_engine_runs)
{
    cr_assert(rc::check("slot table", [] {
        SlotTable table;
        table.slots = 3;
        EngineModel engine;
        Instant now = Instant{} + std::chrono::seconds(1);
        applyReport(table, engine.report(now), now);
        std::vector<PinnedRequest> runs;
        std::vector<SlotReport> inTransit;
        const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 6)));
        for (const auto &[event, number] : events) {
            now += std::chrono::milliseconds(10);
            const AdapterId id = adapterOf(number).id();
            if (event <= 1) { // a request
                const std::optional<SlotPin> held = pin(table, id);
                if (held && !engine.running.contains(number)) {
                    unpin(table, *held, true); // the engine answers "not resident"
                    markNotResident(table, id);
                } else if (held) {
                    ++engine.running[number];
                    runs.push_back({number, *held, engine.epoch});
                }
            } else if (event == 2 && !runs.empty()) { // a request ends
                PinnedRequest run = runs.back();
                runs.pop_back();
                if (run.epoch == engine.epoch)
                    --engine.running[run.adapter];
                if (!run.connectionBroken)
                    unpin(table, run.pin, true);
            } else if (event == 3 && !runs.empty() && !runs.back().connectionBroken) {
                // The owner loses the connection; the engine goes on running it.
                runs.back().connectionBroken = true;
                unpin(table, runs.back().pin, false);
            } else if (event == 4 && engine.loading < 0) { // a load, evicting the first idle slot
                AdapterId evict;
                int evicted = -1;
                for (const auto &[adapter, count] : engine.running) {
                    if (evicted < 0 && static_cast<int>(table.resident.size()) >= table.slots) {
                        evicted = adapter;
                        evict = adapterOf(adapter).id();
                    }
                }
                const bool there = engine.running.contains(number);
                if (!there && beginLoad(table, adapterOf(number), evict) == ErrorKind::Ok
                    && table.loading) {
                    if (evicted >= 0) {
                        RC_ASSERT(engine.running[evicted] == 0);
                        engine.running.erase(evicted);
                    }
                    engine.loading = number;
                }
            } else if (event == 5 && engine.loading >= 0) { // the load ends
                engine.running.emplace(engine.loading, 0);
                engine.loading = -1;
                endLoad(table, true, now);
            } else if (event == 6) { // the engine restarts cold
                ++engine.epoch;
                engine.running.clear();
                if (engine.loading >= 0)
                    endLoad(table, false, now);
                engine.loading = -1;
            } else if (event == 7) {
                applyReport(table, engine.report(now), now);
            }
            RC_ASSERT(static_cast<int>(table.resident.size()) <= table.slots + 1);
        }
    }));
}

// Guards against evicting an adapter under a running request after an engine's restart: request R1
// runs, the engine restarts, the adapter is loaded again, R2 is dispatched, and the end of R1
// releases the pin of R2.
Test(slots, a_pin_of_an_earlier_load_does_not_count_for_the_next)
{
    SlotTable table;
    table.slots = 1;
    const Instant now = Instant{} + std::chrono::seconds(1);
    SlotReport report;
    report.epoch = 1;
    applyReport(table, report, now);
    const AdapterRef adapter = adapterOf(1);
    cr_assert(beginLoad(table, adapter, AdapterId{}) == ErrorKind::Ok);
    endLoad(table, true, now);
    const SlotPin first = *pin(table, adapter.id());
    report.epoch = 2;
    cr_assert(applyReport(table, report, now + std::chrono::seconds(1)));
    cr_assert(beginLoad(table, adapter, AdapterId{}) == ErrorKind::Ok);
    endLoad(table, true, now + std::chrono::seconds(2));
    const std::optional<SlotPin> second = pin(table, adapter.id());
    cr_assert(second.has_value());
    unpin(table, first, true);
    cr_assert(beginLoad(table, adapterOf(2), adapter.id()) != ErrorKind::Ok);
}

// Guards against a new owner that counts only its own pins and evicts an adapter that requests of
// its predecessor use.
Test(slots, what_the_engine_reports_as_running_is_in_use)
{
    SlotTable table;
    table.slots = 1;
    SlotReport report;
    report.epoch = 1;
    report.resident.push_back({adapterOf(1), 1});
    applyReport(table, report, Instant{});
    cr_assert(beginLoad(table, adapterOf(2), adapterOf(1).id()) != ErrorKind::Ok);
    report.resident[0].running = 0;
    applyReport(table, report, Instant{});
    cr_assert(beginLoad(table, adapterOf(2), adapterOf(1).id()) == ErrorKind::Ok);
}
