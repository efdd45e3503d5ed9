#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

namespace monsoonbay {

/** Levels that objects and arrays may be nested in documents of this system and its platform. */
constexpr int maxDocumentDepth = 32;

/** The same for bodies of callers: schemas in them are nested deeper. */
constexpr int maxCallerDepth = 128;

constexpr std::int64_t maxInt64 = std::numeric_limits<std::int64_t>::max();

/**
 * Parses JSON (UTF-8) from outside the process. The result is discarded (`is_discarded()`) if the
 * text is malformed or nested deeper than `maxDepth`. Throws nothing.
 */
nlohmann::json parseJson(std::string_view text, int maxDepth = maxDocumentDepth);

/**
 * Reads an integer field; throws nlohmann::json::exception if it is missing, not an integer, or not
 * within `minValue` to `maxValue`. The library itself would convert fractions, booleans and larger
 * numbers silently.
 */
std::int64_t readInteger(const nlohmann::json &object, const char *key, std::int64_t minValue,
                         std::int64_t maxValue);

/** The field's value; `fallback` if it is missing, of another type, or `json` is no object. */
template <typename T> T valueOr(const nlohmann::json &json, const char *key, T fallback)
{
    if (!json.is_object())
        return fallback;
    const auto found = json.find(key);
    if (found == json.end())
        return fallback;
    if constexpr (std::is_same_v<T, bool>) {
        return found->is_boolean() ? found->template get<bool>() : fallback;
    } else if constexpr (std::is_integral_v<T>) {
        if (found->is_number_unsigned()) {
            const auto number = found->template get<std::uint64_t>();
            return std::in_range<T>(number) ? static_cast<T>(number) : fallback;
        }
        if (!found->is_number_integer())
            return fallback;
        const auto number = found->template get<std::int64_t>();
        return std::in_range<T>(number) ? static_cast<T>(number) : fallback;
    } else {
        static_assert(std::is_same_v<T, std::string>);
        return found->is_string() ? found->template get<std::string>() : fallback;
    }
}

/** True if the text is UTF-8, as messages between VMs and JSON need it. */
bool isUtf8(std::string_view text);

/**
 * Converts a document by `read`; empty if it is no object or `read` throws
 * nlohmann::json::exception.
 */
template <typename T, typename Read>
std::optional<T> convertUntrusted(const nlohmann::json &json, Read read)
{
    if (!json.is_object())
        return std::nullopt;
    try {
        return read(json);
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/**
 * Parses a JSON object and converts it by `read`. Empty if the text is no JSON object, is nested
 * too deep, or `read` throws nlohmann::json::exception, so that a damaged document, or one of an
 * unknown writer, cannot end the process.
 */
template <typename T, typename Read>
std::optional<T> parseUntrusted(std::string_view text, Read read)
{
    return convertUntrusted<T>(parseJson(text), std::move(read));
}

} // namespace monsoonbay
