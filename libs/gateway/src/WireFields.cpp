#include "WireFields.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/unknown_field_set.h>

namespace monsoonbay {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using google::protobuf::UnknownField;
using google::protobuf::UnknownFieldSet;

} // namespace

std::uint64_t numberField(const Message &message, int field)
{
    const Reflection &reflection = *message.GetReflection();
    const FieldDescriptor *known = message.GetDescriptor()->FindFieldByNumber(field);
    if (known != nullptr && known->cpp_type() == FieldDescriptor::CPPTYPE_ENUM)
        return static_cast<std::uint64_t>(reflection.GetEnumValue(message, known));
    if (known != nullptr)
        return reflection.GetUInt32(message, known);
    const UnknownFieldSet &unknown = reflection.GetUnknownFields(message);
    std::uint64_t value = 0;
    // The last one counts, as for fields that the generated code knows.
    for (int index = 0; index < unknown.field_count(); ++index) {
        const UnknownField &found = unknown.field(index);
        if (found.number() == field && found.type() == UnknownField::TYPE_VARINT)
            value = found.varint();
    }
    return value;
}

void setNumberField(Message &message, int field, std::uint32_t value)
{
    const Reflection &reflection = *message.GetReflection();
    const FieldDescriptor *known = message.GetDescriptor()->FindFieldByNumber(field);
    if (known != nullptr && known->cpp_type() == FieldDescriptor::CPPTYPE_ENUM)
        reflection.SetEnumValue(&message, known, static_cast<int>(value));
    else if (known != nullptr)
        reflection.SetUInt32(&message, known, value);
    else if (value != 0)
        reflection.MutableUnknownFields(&message)->AddVarint(field, value);
}

std::vector<std::string> textFields(const Message &message, int field)
{
    const Reflection &reflection = *message.GetReflection();
    const FieldDescriptor *known = message.GetDescriptor()->FindFieldByNumber(field);
    std::vector<std::string> texts;
    if (known != nullptr) {
        for (int index = 0; index < reflection.FieldSize(message, known); ++index)
            texts.push_back(reflection.GetRepeatedString(message, known, index));
        return texts;
    }
    const UnknownFieldSet &unknown = reflection.GetUnknownFields(message);
    for (int index = 0; index < unknown.field_count(); ++index) {
        const UnknownField &found = unknown.field(index);
        if (found.number() == field && found.type() == UnknownField::TYPE_LENGTH_DELIMITED)
            texts.push_back(found.length_delimited());
    }
    return texts;
}

void addTextField(Message &message, int field, const std::string &text)
{
    const Reflection &reflection = *message.GetReflection();
    const FieldDescriptor *known = message.GetDescriptor()->FindFieldByNumber(field);
    if (known != nullptr)
        reflection.AddString(&message, known, text);
    else
        *reflection.MutableUnknownFields(&message)->AddLengthDelimited(field) = text;
}

} // namespace monsoonbay
