#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "observe/Events.h"

namespace monsoonbay {

/** Position in a trace, as carried by the W3C header "traceparent". */
struct TraceContext
{
    std::string traceId; ///< 32 hex digits
    std::string spanId; ///< 16 hex digits

    auto operator<=>(const TraceContext &) const = default;
};

/** Nothing if the header is malformed: an invalid header must not make the request fail. */
std::optional<TraceContext> parseTraceparent(std::string_view header);
std::string traceparentOf(const TraceContext &context);

/** A new child span of `parent`, or the root span of a new trace. */
TraceContext childOf(const std::optional<TraceContext> &parent);

/** The span of one hop of a request. */
struct Span
{
    TraceContext context;
    std::string parentSpanId; ///< empty for a root
    std::string name;
    std::uint64_t startNanos = 0; ///< since the Unix epoch
    std::uint64_t endNanos = 0;
    bool failed = false;
    std::vector<EventField> attributes;
};

/** Wall-clock time for spans; never used for decisions. */
std::uint64_t unixNanos() noexcept;

/** A bounded queue of spans to export; when it is full, new spans are dropped and counted. */
class SpanQueue
{
public:
    void add(Span span);
    std::vector<Span> take(std::size_t most);
    std::uint64_t dropped() const;

private:
    static constexpr std::size_t capacity = 20000;

    mutable std::mutex mutex;
    std::vector<Span> spans;
    std::uint64_t droppedSpans = 0;
};

/** The body of an OTLP/HTTP export request in JSON. */
std::string otlpJson(std::string_view vm, std::string_view zone, const std::vector<Span> &spans);

} // namespace monsoonbay
