#include "serving/CallIdentity.h"

#include <criterion/criterion.h>

using namespace monsoonbay;

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
