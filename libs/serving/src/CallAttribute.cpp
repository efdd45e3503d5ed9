#include "serving/CallAttribute.h"

#include <array>
#include <cstdio>

namespace monsoonbay {

namespace {

const char *kindName(AttributeKind kind)
{
    switch (kind) {
    case AttributeKind::CallerContent:
        return "content of one caller";
    case AttributeKind::Content:
        return "content";
    case AttributeKind::PromptPart:
        return "prompt part";
    }
    return "";
}

} // namespace

std::vector<CallAttribute> attributesOf(const CallIdentity &call)
{
    std::vector<CallAttribute> attributes;
    if (call.content != 0) {
        attributes.push_back({AttributeKind::CallerContent, call.content, call.caller});
        attributes.push_back({AttributeKind::Content, call.content, 0});
    }
    for (const std::uint64_t part : call.parts)
        attributes.push_back({AttributeKind::PromptPart, part, 0});
    return attributes;
}

std::string attributeText(const CallAttribute &attribute)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%s %016llx", kindName(attribute.kind),
                  static_cast<unsigned long long>(attribute.value));
    return text.data();
}

} // namespace monsoonbay
