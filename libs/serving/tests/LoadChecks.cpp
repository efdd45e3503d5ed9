#include <deque>

#include <criterion/criterion.h>

#include "serving/AdapterScheduler.h"

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

const Instant start = Instant{} + 1h;

/** Scheduler of an engine that accepted one load command at `start`. */
AdapterScheduler loadingScheduler(Duration expected)
{
    AdapterScheduler scheduler;
    scheduler.adapterSlots = 4;
    scheduler.sequence = 6;
    LoadEstimate estimate;
    estimate.time = expected;
    estimate.concurrentLoads = 150;
    estimate.fetched = true;
    recordLoadAccepted(scheduler, "m/a", 1, estimate, start);
    advanceSequence(scheduler, start);
    return scheduler;
}

EngineReport reportOf(std::int64_t sequence, bool done)
{
    EngineReport report;
    report.sequence = sequence;
    if (done)
        report.resident["m/a"] = 1;
    return report;
}

LoadEstimator saturatedEstimator()
{
    LoadEstimator estimator;
    recordLoadOnTime(estimator.times, 1, 280ms);
    recordEarlyCall(estimator.times, 150, 1300ms);
    return estimator;
}

} // namespace

// Guards against calls that wait for a load that is already done, as nothing checks it before its
// expected end.
Test(load_checks, a_load_reported_done_is_not_waited_for)
{
    LoadEstimator estimator = saturatedEstimator();
    AdapterScheduler scheduler = loadingScheduler(1300ms);
    cr_assert_not(isReportCheckDue(scheduler, estimator.times, start + 100ms));
    cr_assert(isReportCheckDue(scheduler, estimator.times, start + 500ms));
    cr_assert_not(isReportCheckDue(scheduler, estimator.times, start + 1200ms));
    cr_assert_not(applyCompletedLoads(scheduler, reportOf(7, false), estimator, start + 500ms));
    cr_assert(applyCompletedLoads(scheduler, reportOf(7, true), estimator, start + 500ms));
    cr_assert_not(scheduler.slots.at("m/a").loading);
    cr_assert_eq(scheduler.sequence, 7);
    cr_assert_leq(fetchTime(estimator.times, 150).count(), Duration(500ms).count());
}

// Guards against a report from before the command, which shows the adapter from an earlier stay.
Test(load_checks, a_report_from_before_the_command_completes_no_load)
{
    LoadEstimator estimator = saturatedEstimator();
    AdapterScheduler scheduler = loadingScheduler(1300ms);
    cr_assert_not(applyCompletedLoads(scheduler, reportOf(6, true), estimator, start + 500ms));
    EngineReport otherStart = reportOf(9, true);
    scheduler.startTime = 5;
    otherStart.startTime = 6;
    cr_assert_not(applyCompletedLoads(scheduler, otherStart, estimator, start + 500ms));
    cr_assert(scheduler.slots.at("m/a").loading);
}

namespace {

/** Expected time of a load 8 s after a surge in which loads took 1.3 s; they take 288 ms now. */
Duration expectedAfterSurge(bool checksLoads)
{
    constexpr Duration real = 288ms;
    constexpr Duration loadEvery = 10ms;
    LoadEstimator estimator = saturatedEstimator();
    struct Load
    {
        AdapterScheduler scheduler;
        Instant requestedAt;
        Instant believedDoneAt;
        int concurrentLoads;
    };
    std::deque<Load> loads;
    for (Instant now = start; now < start + 8s; now += loadEvery) {
        for (Load &load : loads) {
            const bool due = checksLoads && isReportCheckDue(load.scheduler, estimator.times, now);
            if (!due || now - load.requestedAt < real + 100ms)
                continue;
            if (applyCompletedLoads(load.scheduler, reportOf(7, true), estimator, now))
                load.believedDoneAt = now;
        }
        while (!loads.empty() && loads.front().believedDoneAt <= now) {
            const Load &load = loads.front();
            recordLoadOnTime(estimator.times, load.concurrentLoads,
                             load.believedDoneAt - load.requestedAt);
            loads.pop_front();
        }
        const int concurrentLoads = static_cast<int>(loads.size()) + 1;
        const Duration expected = fetchTime(estimator.times, concurrentLoads);
        Load load{loadingScheduler(expected), now, now + expected, concurrentLoads};
        for (auto &[adapter, slot] : load.scheduler.slots) {
            slot.requestedAt = now;
            slot.readyAt = now + expected;
            slot.concurrentLoads = concurrentLoads;
        }
        loads.push_back(std::move(load));
    }
    return fetchTime(estimator.times, static_cast<int>(loads.size()));
}

} // namespace

// Guards against an estimate that keeps itself up: after a surge, calls waited 1.2 s for loads of
// 288 ms, and because of that wait as many loads seemed to run as in the surge.
Test(load_checks, estimates_recover_after_a_surge)
{
    cr_assert_lt(expectedAfterSurge(true).count(), Duration(450ms).count());
}

namespace {

/** An engine that reports what was so some time ago, as seen by its lease holder. */
struct ReportingEngine
{
    Duration loadTime;
    Duration reportAge;

    EngineReport reportAt(Instant now, Instant loadAccepted) const
    {
        const Duration since = now - this->reportAge - loadAccepted;
        return reportOf(since < Duration::zero() ? 6 : 7, since >= this->loadTime);
    }
};

/** Loads that calls tried before they were done, of `loads` one after the other. */
int triesBeforeDone(const ReportingEngine &engine, int loads)
{
    LoadEstimator estimator;
    int tries = 0;
    for (int load = 0; load < loads; ++load) {
        AdapterScheduler scheduler;
        scheduler.adapterSlots = 4;
        scheduler.sequence = 6;
        recordLoadAccepted(scheduler, "m/a", 1, estimateLoad(scheduler, "m/a", 0, estimator),
                           start);
        advanceSequence(scheduler, start);
        for (Instant now = start; now < start + 5s; now += 10ms) {
            if (awaitsReport(scheduler, "m/a"))
                applyCompletedLoads(scheduler, engine.reportAt(now, start), estimator, now);
            const bool tried = completeDueLoads(scheduler, now);
            if (tried)
                probeCallDelay(scheduler, "m/a", estimator.times, now);
            if (tried && now < start + engine.loadTime) {
                ++tries;
                recordMissing(scheduler, "m/a", estimator, now);
            }
            learnFromLoads(scheduler, estimator, now);
        }
    }
    return tries;
}

} // namespace

// Guards against loads that are tried by calls, at the cost of retries, while nothing is known of
// how long loads take: a report shows when the first ones are done.
Test(load_checks, loads_of_unknown_time_are_not_tried_by_calls)
{
    for (const Duration loadTime : {Duration(100ms), Duration(250ms), Duration(1500ms)}) {
        for (const Duration reportAge : {Duration(20ms), Duration(200ms), Duration(400ms)}) {
            cr_assert_eq(triesBeforeDone({loadTime, reportAge}, 1), 0);
            cr_assert_leq(triesBeforeDone({loadTime, reportAge}, 40), 2, "%ld ms, %ld ms",
                          toMillis(loadTime), toMillis(reportAge));
        }
    }
}

// Guards against a load that is tried again and again: when the weight store has slowed down, each
// load is tried twice at most, and how long it took is learnt from the report.
Test(load_checks, a_load_that_was_tried_in_vain_is_awaited_by_reports)
{
    LoadEstimator estimator;
    recordAwaitedLoadDone(estimator.times, 1, 250ms);
    for (int load = 0; load < 20; ++load)
        recordLoadOnTime(estimator.times, 1, 260ms);
    const ReportingEngine slowed{900ms, 200ms};
    AdapterScheduler scheduler;
    scheduler.adapterSlots = 4;
    scheduler.sequence = 6;
    recordLoadAccepted(scheduler, "m/a", 1, estimateLoad(scheduler, "m/a", 0, estimator), start);
    advanceSequence(scheduler, start);
    int tries = 0;
    for (Instant now = start; now < start + 1300ms; now += 10ms) {
        if (awaitsReport(scheduler, "m/a"))
            applyCompletedLoads(scheduler, slowed.reportAt(now, start), estimator, now);
        if (!completeDueLoads(scheduler, now) || now >= start + 900ms)
            continue;
        ++tries;
        recordMissing(scheduler, "m/a", estimator, now);
    }
    cr_assert_leq(tries, 2);
    cr_assert_geq(fetchTime(estimator.times, 1).count(), Duration(850ms).count());
    cr_assert_leq(fetchTime(estimator.times, 1).count(), Duration(1100ms).count());
}

// Guards against loads that nobody waits for because their engine answers no requests for reports.
Test(load_checks, a_load_that_is_never_reported_is_tried_in_the_end)
{
    LoadEstimator estimator;
    AdapterScheduler scheduler;
    scheduler.adapterSlots = 4;
    recordLoadAccepted(scheduler, "m/a", 1, estimateLoad(scheduler, "m/a", 0, estimator), start);
    cr_assert_not(completeDueLoads(scheduler, start + 500ms));
    cr_assert(completeDueLoads(scheduler, start + 1200ms));
}

// Guards against a load that counts as done in time because nobody tried it: its callers had left,
// and the calls of other VMs were refused.
Test(load_checks, a_load_that_no_call_has_tried_is_not_taken_as_done)
{
    LoadEstimator estimator;
    AdapterScheduler scheduler = loadingScheduler(200ms);
    completeDueLoads(scheduler, start + 200ms);
    cr_assert_not(learnFromLoads(scheduler, estimator, start + 1s));
    cr_assert_not(isShared(scheduler.slots.at("m/a"), estimator.times));
    cr_assert(isReportCheckDue(scheduler, estimator.times, start + 1s));
    probeCallDelay(scheduler, "m/a", estimator.times, start + 1s);
    cr_assert(learnFromLoads(scheduler, estimator, start + 1200ms));
    cr_assert(isShared(scheduler.slots.at("m/a"), estimator.times));
}

// Guards against a load that is awaited for good although the engine has never accepted it: the
// answer to another command passed for the answer to this one.
Test(load_checks, a_load_that_was_never_accepted_is_not_awaited)
{
    LoadEstimator estimator;
    AdapterScheduler scheduler = loadingScheduler(200ms);
    scheduler.slots.at("m/a").awaitsReport = true;
    cr_assert_not(applyCompletedLoads(scheduler, reportOf(6, false), estimator, start + 400ms));
    cr_assert_geq(scheduler.sequence, 0);
    cr_assert(applyCompletedLoads(scheduler, reportOf(6, false), estimator, start + 600ms));
    cr_assert_lt(scheduler.sequence, 0);
}
