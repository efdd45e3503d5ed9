#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace monsoonbay {

/**
 * What makes one document of another: runs of bytes that both have, and the bytes between them. Its
 * length is that of the new bytes, and 8 bytes for each run, whatever the documents' length.
 */
std::string deltaBetween(std::string_view base, std::string_view document);

/** The document; nothing if the change is damaged, or is not one of `base`. */
std::optional<std::string> applyDocumentDelta(std::string_view base, std::string_view change);

} // namespace monsoonbay
