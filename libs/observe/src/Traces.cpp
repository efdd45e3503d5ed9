#include "observe/Traces.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>

#include <nlohmann/json.hpp>

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

constexpr std::size_t traceDigits = 32;
constexpr std::size_t spanDigits = 16;
constexpr int serverKind = 2;
constexpr int errorStatus = 2;

std::string randomHex(std::size_t digits)
{
    static constexpr std::string_view hex = "0123456789abcdef";
    thread_local std::mt19937_64 random{std::random_device{}()};
    std::string text;
    while (text.size() < digits) {
        std::uint64_t bits = random();
        for (int digit = 0; digit < 16 && text.size() < digits; ++digit) {
            text.push_back(hex[bits & 0xfU]);
            bits >>= 4U;
        }
    }
    return text;
}

bool isHexId(std::string_view text)
{
    const auto isHex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    const bool allZero = text.find_first_not_of('0') == std::string_view::npos;
    return !allZero && std::all_of(text.begin(), text.end(), isHex);
}

Json attributesJson(const std::vector<EventField> &fields)
{
    Json attributes = Json::array();
    for (const EventField &field : fields)
        attributes.push_back({{"key", field.name}, {"value", {{"stringValue", field.value}}}});
    return attributes;
}

Json spanJson(const Span &span)
{
    Json json{{"traceId", span.context.traceId},
              {"spanId", span.context.spanId},
              {"name", span.name},
              {"kind", serverKind},
              {"startTimeUnixNano", std::to_string(span.startNanos)},
              {"endTimeUnixNano", std::to_string(span.endNanos)},
              {"attributes", attributesJson(span.attributes)}};
    if (!span.parentSpanId.empty())
        json["parentSpanId"] = span.parentSpanId;
    if (span.failed)
        json["status"] = Json{{"code", errorStatus}};
    return json;
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    // "00-" trace id "-" span id "-" flags
    constexpr std::size_t traceAt = 3;
    constexpr std::size_t spanAt = traceAt + traceDigits + 1;
    constexpr std::size_t length = spanAt + spanDigits + 3;
    const bool shaped = header.size() == length && header.starts_with("00-")
        && header[spanAt - 1] == '-' && header[spanAt + spanDigits] == '-';
    if (!shaped)
        return std::nullopt;
    const std::string_view trace = header.substr(traceAt, traceDigits);
    const std::string_view span = header.substr(spanAt, spanDigits);
    if (!isHexId(trace) || !isHexId(span))
        return std::nullopt;
    return TraceContext{std::string(trace), std::string(span)};
}

std::string traceparentOf(const TraceContext &context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

TraceContext childOf(const std::optional<TraceContext> &parent)
{
    return TraceContext{parent ? parent->traceId : randomHex(traceDigits), randomHex(spanDigits)};
}

std::uint64_t unixNanos() noexcept
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(now).count());
}

void SpanQueue::add(Span span)
{
    const std::lock_guard guard(this->mutex);
    if (this->spans.size() >= capacity) {
        ++this->droppedSpans;
        return;
    }
    this->spans.push_back(std::move(span));
}

std::vector<Span> SpanQueue::take(std::size_t most)
{
    const std::lock_guard guard(this->mutex);
    const std::size_t count = std::min(most, this->spans.size());
    const auto end = this->spans.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Span> taken(std::make_move_iterator(this->spans.begin()),
                            std::make_move_iterator(end));
    this->spans.erase(this->spans.begin(), end);
    return taken;
}

std::uint64_t SpanQueue::dropped() const
{
    const std::lock_guard guard(this->mutex);
    return this->droppedSpans;
}

std::string otlpJson(std::string_view vm, std::string_view zone, const std::vector<Span> &spans)
{
    Json list = Json::array();
    for (const Span &span : spans)
        list.push_back(spanJson(span));
    const std::vector<EventField> resource{{"service.name", "monsoonbay"},
                                           {"service.instance.id", std::string(vm)},
                                           {"cloud.availability_zone", std::string(zone)}};
    const Json scope{{"scope", {{"name", "monsoonbay"}}}, {"spans", list}};
    const Json entry{{"resource", {{"attributes", attributesJson(resource)}}},
                     {"scopeSpans", Json::array({scope})}};
    const Json body{{"resourceSpans", Json::array({entry})}};
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace monsoonbay
