#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <criterion/criterion.h>

#include "observe/EventLimiter.h"
#include "observe/Events.h"
#include "observe/Metrics.h"
#include "observe/Traces.h"

using namespace monsoonbay;

// Guards against an event whose number is missing in docs/EVENTS.md, because it and the code
// differ.
Test(events, code_and_catalogue_agree)
{
    std::ifstream file(MONSOONBAY_SOURCE_DIR "/docs/EVENTS.md");
    cr_assert(file.good());
    std::set<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| E"))
            rows.insert(line);
    }
    cr_assert_eq(rows.size(), eventCatalogue().size());
    for (const EventRow &row : eventCatalogue()) {
        std::ostringstream text;
        text << "| E" << static_cast<int>(row.id) << " | " << row.name << " | "
             << (row.level == EventLevel::Info          ? "info"
                     : row.level == EventLevel::Warning ? "warning"
                                                        : "error")
             << " | " << row.meaning << " | " << row.remedy << " |";
        cr_assert(rows.contains(text.str()), "docs/EVENTS.md lacks: %s", text.str().c_str());
    }
}

Test(events, numbers_are_used_once)
{
    std::set<EventId> ids;
    for (const EventRow &row : eventCatalogue())
        cr_assert(ids.insert(row.id).second);
}

Test(events, json_lines_quote_what_they_are_given)
{
    const std::string text =
        eventText(LogFormat::Json, "vm", *findEvent(EventId::Ready), {{"offset", "a\"b\n"}});
    cr_assert_eq(text, R"("vm":"vm","event":1002,"name":"ready","offset":"a\"b\n")");
}

Test(metrics, quantiles_come_from_what_was_recorded)
{
    Metrics metrics;
    for (int value = 1; value <= 1000; ++value)
        metrics.record(Timing::LoadStall, value / 1000.0);
    const TimingSummary summary = metrics.summary(Timing::LoadStall);
    cr_assert_eq(summary.count, 1000);
    cr_assert_float_eq(summary.p50, 0.5, 0.12);
    cr_assert_float_eq(summary.p99, 0.99, 0.25);
    metrics.add(Counter::Bounces, 3);
    cr_assert(metrics.openMetrics().find("monsoonbay_bounces_total 3\n") != std::string::npos);
}

Test(traces, a_malformed_header_is_ignored)
{
    const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    cr_assert(parseTraceparent(good).has_value());
    cr_assert_eq(traceparentOf(*parseTraceparent(good)), good);
    for (const char *bad : {"", "00", "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                            "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                            "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0"})
        cr_assert_not(parseTraceparent(bad).has_value(), "%s", bad);
}

Test(events, events_of_a_kind_are_limited_and_those_left_out_are_counted)
{
    EventLimiter limiter(3);
    const Instant start = Instant{} + std::chrono::seconds(100);
    int written = 0;
    for (int event = 0; event < 50; ++event)
        written += limiter.admit(EventId::CallRefused, start).has_value() ? 1 : 0;
    cr_assert_eq(written, 3);
    cr_assert(limiter.admit(EventId::TargetGone, start).has_value(), "each kind has its own limit");
    const auto next = limiter.admit(EventId::CallRefused, start + std::chrono::seconds(1));
    cr_assert_eq(next.value_or(0), 47);
    cr_assert_eq(limiter.admit(EventId::CallRefused, start + std::chrono::seconds(1)).value_or(9),
                 0);
}
