#include "ClassFields.h"

#include <algorithm>
#include <numeric>

#include <google/protobuf/unknown_field_set.h>

namespace monsoonbay {

namespace v1 = gateway::v1;

namespace {

using Fields = google::protobuf::UnknownFieldSet;

constexpr int askedByClass = 4;
constexpr int callsByClass = 5;
constexpr int askedInWindow = 6;

void addNumbers(int field, const ByClass &numbers, Fields &fields)
{
    for (const std::int64_t number : numbers)
        fields.AddVarint(field, static_cast<std::uint64_t>(std::max<std::int64_t>(number, 0)));
}

/** Up to as many numbers as there are classes; false if there are more, or they are no numbers. */
struct Numbers
{
    ByClass values{};
    std::size_t count = 0;

    bool take(const google::protobuf::UnknownField &field)
    {
        const bool valid = field.type() == google::protobuf::UnknownField::TYPE_VARINT
            && field.varint() <= mostTold && this->count < callClasses;
        if (valid)
            this->values[this->count++] = static_cast<std::int64_t>(field.varint());
        return valid;
    }
};

std::int64_t sumOf(const ByClass &values)
{
    return std::accumulate(values.begin(), values.end(), std::int64_t{0});
}

} // namespace

// The fields are written and read as wire data, which is the same whether or not the committed
// generated code has accessors for them.
void encodeClasses(const WorkspaceUse &use, v1::WorkspaceUse &told)
{
    if (use.askedByClass == ByClass() && use.callsByClass == ByClass())
        return;
    Fields fields;
    addNumbers(askedByClass, use.askedByClass, fields);
    addNumbers(callsByClass, use.callsByClass, fields);
    fields.AddVarint(askedInWindow,
                     static_cast<std::uint64_t>(std::max<std::int64_t>(use.askedInWindow, 0)));
    std::string wire;
    fields.SerializeToString(&wire);
    told.MergeFromString(wire);
}

bool decodeClasses(const v1::WorkspaceUse &told, WorkspaceUse &use)
{
    Fields fields;
    if (!fields.ParseFromString(told.SerializeAsString()))
        return false;
    Numbers asked;
    Numbers calls;
    Numbers window;
    bool valid = true;
    for (int index = 0; index < fields.field_count(); ++index) {
        const google::protobuf::UnknownField &field = fields.field(index);
        if (field.number() == askedByClass)
            valid = asked.take(field) && valid;
        if (field.number() == callsByClass)
            valid = calls.take(field) && valid;
        if (field.number() == askedInWindow)
            valid = window.take(field) && valid;
    }
    if (asked.count == 0 && calls.count == 0 && window.count == 0)
        return valid;
    valid = valid && asked.count == callClasses && calls.count == callClasses && window.count == 1
        && sumOf(asked.values) <= use.askedPerSecond;
    if (!valid)
        return false;
    use.askedByClass = asked.values;
    use.callsByClass = calls.values;
    use.askedInWindow = window.values[0];
    return true;
}

} // namespace monsoonbay
