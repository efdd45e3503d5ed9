#include "ConfigReaders.h"

#include <map>
#include <set>

#include <criterion/criterion.h>

using namespace monsoonbay;

namespace {

constexpr Instant begin{std::chrono::seconds(100)};
constexpr std::int64_t version = 7;

Endpoint vm(int number)
{
    return {"10.0.0." + std::to_string(number), 7380};
}

ConfigPartRequest requestOf(int number, const std::string &zone = "zone-a")
{
    return {vm(number), zone, version, false};
}

} // namespace

// Guards against all VMs of a zone downloading over the one link of the VM that has it first.
Test(config_readers, seventy_readers_are_spread_over_many_sources)
{
    std::map<Endpoint, ConfigReaders> vms;
    std::map<Endpoint, int> served;
    std::size_t longest = 0;
    for (int reader = 1; reader <= 70; ++reader) {
        Endpoint source = vm(0);
        std::size_t steps = 0;
        for (auto other = redirectFor(vms[source], requestOf(reader), begin); other;
             other = redirectFor(vms[source], requestOf(reader), begin)) {
            source = *other;
            ++steps;
        }
        ++served[source];
        longest = std::max(longest, steps);
    }
    for (const auto &[source, readers] : served)
        cr_assert_leq(readers, 2, "%s serves %d readers", source.address.c_str(), readers);
    cr_assert_leq(longest, 8, "%zu redirects", longest);
}

// Guards against a VM that is redirected from one zone peer that has ended to the next.
Test(config_readers, a_reader_whose_redirect_failed_is_served)
{
    ConfigReaders readers;
    for (int number = 1; number <= 2; ++number)
        cr_assert(!redirectFor(readers, requestOf(number), begin));
    ConfigPartRequest request = requestOf(3);
    cr_assert(redirectFor(readers, request, begin).has_value());
    request.noRedirect = true;
    cr_assert(!redirectFor(readers, request, begin));
}

// Guards against waiting for readers that ended in the middle of their download.
Test(config_readers, silent_readers_are_not_counted_and_get_no_redirects)
{
    ConfigReaders readers;
    for (int number = 1; number <= 2; ++number)
        cr_assert(!redirectFor(readers, requestOf(number), begin));
    const Instant later = begin + std::chrono::seconds(3);
    cr_assert(!redirectFor(readers, requestOf(3), later));
    cr_assert(!redirectFor(readers, requestOf(4), later));
    const std::optional<Endpoint> other = redirectFor(readers, requestOf(5), later);
    cr_assert(other == vm(3) || other == vm(4));
}

// Guards against traffic between zones for a configuration that a VM of the same zone has.
Test(config_readers, readers_are_not_redirected_to_another_zone)
{
    ConfigReaders readers;
    for (int number = 1; number <= 2; ++number)
        cr_assert(!redirectFor(readers, requestOf(number, "zone-b"), begin));
    cr_assert(!redirectFor(readers, requestOf(3), begin));
    recordPartSent(readers, requestOf(3), true, begin);
    cr_assert_eq(redirectFor(readers, requestOf(4), begin).value(), vm(3));
}
