#include "serving/CallIdentity.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

// Guards against two calls with a part in common that seem to have none: the part's id is written
// in another case, or stands elsewhere or twice in the prompt, or the last part is taken for a
// shared one.
Test(identities, a_shared_part_is_the_same_wherever_it_stands)
{
    const std::vector<std::uint64_t> parts =
        sharedPartsOf({{"5c1e", 800}, {"91bd", 410}, {"e4", 9}});
    cr_assert_eq(parts.size(), 2);
    cr_assert(parts == sharedPartsOf({{"91BD", 1}, {"5C1E", 2}, {"91bd", 3}, {"77", 9}}));
    cr_assert(sharedPartsOf({{"5c1e", 800}}).empty());
    cr_assert(sharedPartsOf({}).empty());
    const std::vector<PromptPart> thousands(5000, PromptPart{"5c1e", 1});
    cr_assert_eq(sharedPartsOf(thousands).size(), 1);
    std::vector<PromptPart> different;
    for (int part = 0; part < 5000; ++part)
        different.push_back({std::to_string(part), 1});
    cr_assert_eq(sharedPartsOf(different).size(), maxIdentityParts);
}

// Guards against an identity that leaves out a part of the call or the border between two parts.
Test(identities, calls_are_the_same_by_method_host_path_body_and_caller)
{
    const CallIdentity call = identifyCall("POST", "h.example", "/a/1?b=2", "body", "10.0.0.9");
    cr_assert(call == identifyCall("POST", "h.example", "/a/1?b=2", "body", "10.0.0.9"));
    const CallIdentity elsewhere =
        identifyCall("POST", "h.example", "/a/1?b=2", "body", "10.0.0.8");
    cr_assert_eq(call.content, elsewhere.content);
    cr_assert_neq(call.caller, elsewhere.caller);
    for (const CallIdentity &other : {identifyCall("GET", "h.example", "/a/1?b=2", "body", ""),
                                      identifyCall("POST", "g.example", "/a/1?b=2", "body", ""),
                                      identifyCall("POST", "h.example", "/a/1?b=3", "body", ""),
                                      identifyCall("POST", "h.example", "/a/1?b=2", "bodi", ""),
                                      identifyCall("POST", "h.example", "/a/1?b=2b", "ody", "")})
        cr_assert_neq(call.content, other.content);
}
