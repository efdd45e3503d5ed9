#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <google/protobuf/message.h>

namespace monsoonbay {

/**
 * Access by number to fields that Gateway.proto declares, whether the generated code knows them or
 * not: a field that it does not know is kept in the message as an unknown one and has the same
 * form on the wire. The generated accessors can replace these wherever the code is regenerated.
 */

/** A number or an enum's value; 0 if the field is not set. */
std::uint64_t numberField(const google::protobuf::Message &message, int field);
void setNumberField(google::protobuf::Message &message, int field, std::uint32_t value);

/** A repeated text. */
std::vector<std::string> textFields(const google::protobuf::Message &message, int field);
void addTextField(google::protobuf::Message &message, int field, const std::string &text);

} // namespace monsoonbay
