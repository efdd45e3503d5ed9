#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/**
 * Delta that turns `base` into `document`: byte ranges that both share, and the bytes in between.
 * Its length is that of the new bytes plus 8 bytes per range, whatever the documents' length.
 */
std::string deltaBetween(std::string_view base, std::string_view document);

/** The document; nothing if the delta is damaged or belongs to another base. */
std::optional<std::string> applyDocumentDelta(std::string_view base, std::string_view delta);

} // namespace monsoonbay
