#include <criterion/criterion.h>

#include "core/Digest.h"
#include "core/Error.h"
#include "core/Ids.h"

using namespace monsoonbay;

Test(core, adapter_names_are_split_at_the_last_at)
{
    cr_assert_eq(parseAdapterRef("plan-7@3"), (AdapterRef{"plan-7", "3"}));
    cr_assert_eq(parseAdapterRef("a@b@2"), (AdapterRef{"a@b", "2"}));
    for (const char *malformed : {"", "@", "plan", "plan@", "@3"})
        cr_assert(parseAdapterRef(malformed).name.empty(), "%s", malformed);
}

// Guards against a caller that gets the status of a neighbouring kind: a kind was added to the
// enumeration, and its row at another position of the table.
Test(core, every_error_kind_has_its_own_row)
{
    for (int code = 0; code <= static_cast<int>(ErrorKind::CallerGone); ++code) {
        const auto kind = static_cast<ErrorKind>(code);
        cr_assert_not(errorName(kind).empty());
        cr_assert_geq(httpStatusOf(kind), 200);
    }
    cr_assert_eq(errorName(ErrorKind::CallerGone), "caller-gone");
    cr_assert_eq(errorName(ErrorKind::MayHaveRun), "may-have-run");
    cr_assert_eq(errorName(ErrorKind::KeyConflict), "key-conflict");
    cr_assert_not(meansNotRun(ErrorKind::MayHaveRun));
    cr_assert(meansNotRun(ErrorKind::NotResident));
}

Test(core, digests)
{
    cr_assert_eq(sha256Hex("abc"),
                 "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    cr_assert(equalInConstantTime("same", "same"));
    cr_assert_not(equalInConstantTime("same", "sane"));
    cr_assert_not(equalInConstantTime("same", "samer"));
}
