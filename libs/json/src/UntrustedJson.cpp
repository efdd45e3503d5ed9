#include "json/UntrustedJson.h"

#include <string>

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

} // namespace

// The library copies, compares, writes and destroys a document recursively, so a deep one overflows
// the stack of whoever holds it. Only the parser knows the depth for certain: a count of brackets
// is misled by those inside texts.
Json parseJson(std::string_view text, int maxDepth)
{
    bool isTooDeep = false;
    const auto boundDepth = [&](int depth, Json::parse_event_t event, Json &) {
        const bool opens =
            event == Json::parse_event_t::object_start || event == Json::parse_event_t::array_start;
        isTooDeep = isTooDeep || (opens && depth >= maxDepth);
        return !isTooDeep;
    };
    Json json = Json::parse(text.begin(), text.end(), boundDepth, false);
    return isTooDeep ? Json(Json::value_t::discarded) : json;
}

std::int64_t readInteger(const Json &object, const char *key, std::int64_t minValue,
                         std::int64_t maxValue)
{
    const Json &value = object.at(key);
    if (!value.is_number_integer())
        throw Json::type_error::create(302, std::string(key) + " is not an integer", &value);
    const bool isTooLarge = value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(maxValue);
    const auto number = value.get<std::int64_t>();
    if (isTooLarge || number < minValue || number > maxValue)
        throw Json::out_of_range::create(401, std::string(key) + " is out of range", &value);
    return number;
}

bool isUtf8(std::string_view text)
{
    try {
        Json(text).dump();
        return true;
    } catch (const Json::exception &) {
        return false;
    }
}

} // namespace monsoonbay
