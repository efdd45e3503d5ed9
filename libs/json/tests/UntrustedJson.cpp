#include <string>

#include <criterion/criterion.h>

#include "json/UntrustedJson.h"

using namespace monsoonbay;

namespace {

std::string nested(int levels)
{
    const auto count = static_cast<std::size_t>(levels);
    return std::string(count, '[') + std::string(count, ']');
}

} // namespace

// Guards against a limit of nesting that a text, or a sibling, of brackets moves.
Test(untrusted_json, the_limit_counts_levels_and_nothing_else)
{
    cr_expect(!parseJson(nested(maxDocumentDepth)).is_discarded());
    cr_expect(parseJson(nested(maxDocumentDepth + 1)).is_discarded());
    const std::string closing(1000, ']');
    const std::string opening(1000, '[');
    cr_expect(parseJson("[\"" + closing + "\"," + nested(maxDocumentDepth) + "]").is_discarded());
    cr_expect(
        !parseJson("[\"" + opening + "\"," + nested(maxDocumentDepth - 1) + "]").is_discarded());
    std::string siblings = "[";
    for (int index = 0; index < 1000; ++index)
        siblings += "[],";
    cr_expect_eq(parseJson(siblings + "[]]").size(), 1001);
    cr_expect(parseJson(nested(100000), maxCallerDepth).is_discarded());
    cr_expect(!parseJson(nested(maxCallerDepth), maxCallerDepth).is_discarded());
}

// Guards against text that is no JSON and is taken for some.
Test(untrusted_json, malformed_text_is_discarded)
{
    for (const char *text : {"", "{", "[1,]", "{\"a\":1e999}", "\"\xff\"", "{} {}", "nul"})
        cr_expect(parseJson(text).is_discarded(), "%s", text);
}

// Guards against a field of another type that ends the task that reads it, or is converted.
Test(untrusted_json, a_field_of_another_type_gives_the_fallback)
{
    const nlohmann::json json{
        {"text", "x"}, {"number", 300}, {"negative", -1}, {"part", 1.5}, {"flag", true}};
    cr_expect_eq(valueOr(json, "number", std::uint64_t{7}), 300);
    cr_expect_eq(valueOr(json, "text", 7), 7);
    cr_expect_eq(valueOr(json, "part", 7), 7);
    cr_expect_eq(valueOr(json, "flag", 7), 7);
    cr_expect_eq(valueOr(json, "negative", std::uint64_t{7}), 7);
    cr_expect_eq(valueOr(json, "number", std::uint8_t{7}), 7);
    cr_expect_eq(valueOr(json, "number", std::string("f")), "f");
    cr_expect_eq(valueOr(json, "number", false), false);
    cr_expect_eq(valueOr(nlohmann::json::array(), "number", 7), 7);
}

// Guards against a name that is no UTF-8 in messages between VMs, which then can't be read.
Test(untrusted_json, utf8_is_told_from_other_bytes)
{
    cr_expect(isUtf8("i-7f3a"));
    cr_expect(isUtf8("k\xc3\xa4rtta"));
    cr_expect(!isUtf8("\xff"));
    cr_expect(!isUtf8("\xc3"));
}
