#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "serving/CallIdentity.h"

namespace monsoonbay {

/** Kinds of what calls that crash targets may have in common, the most specific first. */
enum class AttributeKind : std::uint8_t {
    CallerContent, ///< the content, from one caller
    Content,
    PromptPart,
};

/** Something that a call shares with other calls, and that may be the cause of crashes. */
struct CallAttribute
{
    AttributeKind kind = AttributeKind::Content;
    std::uint64_t value = 0; ///< hash of the content or of the part
    std::uint64_t caller = 0; ///< hash of the caller; 0 for other kinds

    auto operator<=>(const CallAttribute &) const = default;
};

/** All attributes of a call, sorted. An identity without a content has those of its parts alone. */
std::vector<CallAttribute> attributesOf(const CallIdentity &call);

/** For logs: the kind and the hashes in hexadecimal. */
std::string attributeText(const CallAttribute &attribute);

} // namespace monsoonbay
