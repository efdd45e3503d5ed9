#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/EventStream.h"

using namespace monsoonbay;

namespace {

std::string event(std::uint64_t id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

std::string streamOf(std::uint64_t first, std::uint64_t last)
{
    std::string all;
    for (std::uint64_t id = first; id <= last; ++id)
        all += event(id, "piece-" + std::to_string(id));
    return all;
}

/** Feeds `bytes` in pieces of random lengths. */
std::string feed(EventStream &stream, std::string_view bytes)
{
    std::string out;
    while (!bytes.empty()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 30);
        const std::string_view piece = bytes.substr(0, length);
        bytes.remove_prefix(piece.size());
        out += takeEvents(stream, piece);
    }
    return out;
}

/** The same events with lines that end with CRLF. */
std::string withCrlf(const std::string &events)
{
    std::string out;
    for (const char letter : events) {
        if (letter == '\n')
            out += '\r';
        out += letter;
    }
    return out;
}

} // namespace

// Guards against holding back events with CRLF, and against taking the end of a stream inside an
// event for one between two events.
Test(events, an_end_is_inside_an_event_until_its_empty_line_has_come)
{
    cr_assert(rc::check("ends", [] {
        const std::uint64_t last = *rc::gen::inRange<std::uint64_t>(1, 5);
        const bool crlf = *rc::gen::arbitrary<bool>();
        const auto lines = [crlf](const std::string &text) {
            return crlf ? withCrlf(text) : text;
        };
        const std::string whole = lines(streamOf(1, last));
        const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size() + 1);
        EventStream stream;
        const std::string got = feed(stream, std::string_view(whole).substr(0, cut));
        std::string expected;
        for (std::uint64_t id = 1; id <= last; ++id) {
            const std::string next = expected + lines(streamOf(id, id));
            if (next.size() > cut)
                break;
            expected = next;
        }
        RC_ASSERT(got == expected);
        RC_ASSERT(isInsideEvent(stream) == (expected.size() < cut));
    }));
}

// Guards against bytes that are lost or repeated where the received pieces are cut.
Test(events, any_cut_gives_the_same_bytes)
{
    cr_assert(rc::check("cuts", [] {
        const std::string whole = streamOf(1, *rc::gen::inRange<std::uint64_t>(1, 20));
        EventStream stream;
        RC_ASSERT(feed(stream, whole) == whole);
        RC_ASSERT(stream.pending.empty());
    }));
}

// Guards against a caller that gets an event twice, or a part of one: a run breaks in the middle of
// an event, and a second run continues from some events earlier.
Test(events, a_stream_that_goes_on_elsewhere_is_whole)
{
    cr_assert(rc::check("resume", [] {
        const std::uint64_t last = *rc::gen::inRange<std::uint64_t>(2, 20);
        const std::string whole = streamOf(1, last);
        const auto broken = *rc::gen::inRange<std::size_t>(0, whole.size());
        EventStream stream;
        std::string got = feed(stream, std::string_view(whole).substr(0, broken));
        restartEvents(stream);
        const std::uint64_t next = stream.lastId.value_or(0) + 1;
        const std::uint64_t from = *rc::gen::inRange<std::uint64_t>(1, next + 1);
        got += feed(stream, streamOf(from, last));
        RC_ASSERT(got == whole);
    }));
}

// Guards against ids taken from other fields or from malformed values.
Test(events, ids_are_read_only_from_id_lines)
{
    cr_assert_eq(eventId("id: 7\ndata: x\n\n").value_or(0), 7);
    cr_assert_eq(eventId("x-version: 3\nid:12\r\n\n").value_or(0), 12);
    cr_assert(!eventId("data: id: 7\n\n"));
    cr_assert(!eventId("id: x7\n\n"));
}
