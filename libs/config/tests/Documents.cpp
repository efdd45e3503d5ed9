#include <algorithm>
#include <random>
#include <string>

#include <criterion/criterion.h>

#include "config/Manifest.h"
#include "config/Settings.h"

using namespace monsoonbay;

namespace {

const std::string goodManifest = R"({"format": 1, "baseModels": ["base"],
  "adapters": [{"name": "a", "version": "1", "baseModel": "base"},
               {"name": "b", "version": "2", "baseModel": "base"}],
  "services": [{"name": "s", "tokenSha256":
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", "adapters": ["a*"]}],
  "targets": [{"name": "t", "baseModel": "base", "slots": 4}]})";

bool complains(const std::vector<Problem> &problems, const std::string &path,
               const std::string &remedy)
{
    return std::any_of(problems.begin(), problems.end(), [&](const Problem &problem) {
        return problem.path == path && problem.remedy.find(remedy) != std::string::npos;
    });
}

} // namespace

Test(manifest, survives_writing_and_reading)
{
    const Parsed<Manifest> first = parseManifest(goodManifest);
    cr_assert(first.ok());
    const Parsed<Manifest> second = parseManifest(writeManifest(first.value));
    cr_assert(second.ok());
    cr_assert_eq(first.value.digest(), second.value.digest());
    cr_assert(first.value.head == second.value.head);
}

Test(manifest, reports_every_problem_at_once_with_its_remedy)
{
    const Parsed<Manifest> parsed = parseManifest(R"({"format": 2, "baseModls": [],
      "adapters": [{"name": "a b", "version": "1", "baseModel": "x"}],
      "services": [{"name": "s", "tokenSha256": "secret", "priority": 12}]})");
    cr_assert(complains(parsed.problems, "/format", "format 1"));
    cr_assert(complains(parsed.problems, "/baseModls", "'baseModels'"));
    cr_assert(complains(parsed.problems, "/adapters/0/name", "letters"));
    cr_assert(complains(parsed.problems, "/adapters/0/baseModel", "baseModels"));
    cr_assert(complains(parsed.problems, "/services/0/tokenSha256", "never the token"));
    cr_assert(complains(parsed.problems, "/services/0/priority", "in that range"));
}

Test(manifest, an_adapter_given_twice_is_refused)
{
    std::string twice = goodManifest;
    twice.replace(twice.find("\"b\""), 3, "\"a\"");
    twice.replace(twice.find("\"2\""), 3, "\"1\"");
    cr_assert_not(parseManifest(twice).ok());
}

Test(manifest, a_delta_changes_what_it_names_and_nothing_else)
{
    const Manifest before = parseManifest(goodManifest).value;
    const auto delta = parseDelta(R"({"putAdapters": [{"name": "a", "version": "2",
      "baseModel": "base"}], "removeAdapters": ["a@1"], "head": {"weights": {"stall": 0.9}}})");
    cr_assert(delta.ok());
    const Parsed<Manifest> after = applyDelta(before, delta.value);
    cr_assert(after.ok());
    cr_assert_eq(after.value.adapters.size(), 2);
    cr_assert_null(after.value.adapters.find(AdapterId::of("a@1")));
    cr_assert_not_null(after.value.adapters.find(AdapterId::of("a@2")));
    cr_assert_not_null(after.value.adapters.find(AdapterId::of("b@2")));
    cr_assert_float_eq(after.value.head.weights.stall, 0.9, 1e-9);
    cr_assert(before.adapters.find(AdapterId::of("a@1")) != nullptr, "the old value is unchanged");
    cr_assert_eq(after.value.digest(), parseManifest(writeManifest(after.value)).value.digest());
}

// Guards against a daemon that crashes on a manifest in which a broken pipeline lost or changed
// bytes. 5,000 documents, fixed seed.
Test(manifest, mangled_documents_are_refused_or_read_but_never_crash)
{
    std::mt19937 random(7);
    int refused = 0;
    for (int round = 0; round < 5000; ++round) {
        std::string text = goodManifest;
        const int changes = 1 + static_cast<int>(random() % 4);
        for (int change = 0; change < changes; ++change) {
            const std::size_t at = random() % text.size();
            if (random() % 2 == 0)
                text[at] = static_cast<char>(random() % 256);
            else
                text.erase(at, 1 + random() % 20);
        }
        const Parsed<Manifest> parsed = parseManifest(text);
        refused += parsed.ok() ? 0 : 1;
        if (!parsed.ok())
            cr_assert_eq(parsed.value.adapters.size(), 0, "nothing is partially applied");
        parseDelta(text);
    }
    cr_assert_gt(refused, 1000);
}

Test(settings, an_unknown_key_names_the_nearest)
{
    const Parsed<Settings> parsed = parseSettings(R"({"vm": "v", "zoen": "z"})");
    cr_assert(complains(parsed.problems, "/zoen", "'zone'"));
    cr_assert(complains(parsed.problems, "/zone", "add it"));
    cr_assert(complains(parsed.problems, "/callers", "missing") || !parsed.ok());
}
