#include "ClassDemandCodec.h"

#include <algorithm>
#include <numeric>

namespace monsoonbay {

namespace v1 = gateway::v1;

namespace {

using Numbers = google::protobuf::RepeatedField<std::uint64_t>;

void addNumbers(const CountsByClass &values, Numbers &numbers)
{
    for (const std::int64_t value : values)
        numbers.Add(static_cast<std::uint64_t>(std::max<std::int64_t>(value, 0)));
}

/** False unless there is exactly one valid number for each class. */
bool decodeNumbers(const Numbers &numbers, CountsByClass &values)
{
    if (numbers.size() != static_cast<int>(callClassCount))
        return false;
    for (std::size_t index = 0; index < callClassCount; ++index) {
        const std::uint64_t number = numbers.Get(static_cast<int>(index));
        if (number > maxReportedNumber)
            return false;
        values[index] = static_cast<std::int64_t>(number);
    }
    return true;
}

std::int64_t sumOf(const CountsByClass &values)
{
    return std::accumulate(values.begin(), values.end(), std::int64_t{0});
}

} // namespace

void encodeClassDemand(const WorkspaceUse &usage, v1::WorkspaceUse &message)
{
    if (usage.requestedByClass == CountsByClass() && usage.callsInWindowByClass == CountsByClass())
        return;
    addNumbers(usage.requestedByClass, *message.mutable_asked_by_class());
    addNumbers(usage.callsInWindowByClass, *message.mutable_calls_by_class());
    message.set_asked_in_window(
        static_cast<std::uint64_t>(std::max<std::int64_t>(usage.requestedInWindow, 0)));
}

bool decodeClassDemand(const v1::WorkspaceUse &message, WorkspaceUse &usage)
{
    const bool none = message.asked_by_class().empty() && message.calls_by_class().empty()
        && message.asked_in_window() == 0;
    if (none)
        return true;
    CountsByClass asked{};
    CountsByClass calls{};
    const bool inRange = decodeNumbers(message.asked_by_class(), asked)
        && decodeNumbers(message.calls_by_class(), calls)
        && message.asked_in_window() <= maxReportedNumber;
    const auto inWindow = static_cast<std::int64_t>(message.asked_in_window());
    // Each call requests at least one unit.
    const bool valid =
        inRange && sumOf(asked) <= usage.requestedPerSecond && inWindow >= sumOf(calls);
    if (!valid)
        return false;
    usage.requestedByClass = asked;
    usage.callsInWindowByClass = calls;
    usage.requestedInWindow = inWindow;
    return true;
}

} // namespace monsoonbay
