#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "serving/ServingConfig.h"

using namespace monsoonbay;

namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = host + prefix;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

/** Reference implementation that checks every route. */
const Route *findByScan(const ServingConfig &config, const std::string &host,
                        const std::string &path)
{
    const Route *best = nullptr;
    const std::string plain = path.substr(0, path.find('?'));
    for (const Route &candidate : config.routes) {
        const bool fits = candidate.host == host && plain.starts_with(candidate.pathPrefix);
        if (!fits)
            continue;
        if (best == nullptr || candidate.pathPrefix.size() > best->pathPrefix.size())
            best = &candidate;
    }
    return best;
}

std::string generatePath(const std::vector<int> &parts)
{
    std::string path = "/";
    for (const int part : parts)
        path += std::string(1, static_cast<char>('a' + part)) + "/";
    return path;
}

} // namespace

Test(routes, longest_prefix_matches_a_reference_search)
{
    cr_assert(rc::check("longest prefix", [] {
        const auto generatedParts = rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
        ServingConfig config;
        const auto prefixes = *rc::gen::container<std::vector<std::vector<int>>>(generatedParts);
        for (const std::vector<int> &parts : prefixes)
            config.routes.push_back(
                route("h" + std::to_string(parts.size() % 2), generatePath(parts)));
        const RouteTable table(config);
        std::string path = generatePath(*generatedParts);
        if (*rc::gen::arbitrary<bool>())
            path.pop_back();
        if (*rc::gen::arbitrary<bool>())
            path += "?q=/a/b/";
        const std::string host = "h" + std::to_string(*rc::gen::inRange(0, 3));
        const Route *found = table.findRoute(host, path);
        const Route *expected = findByScan(config, host, path);
        RC_ASSERT((found == nullptr) == (expected == nullptr));
        if (found != nullptr)
            RC_ASSERT(found->pathPrefix == expected->pathPrefix);
    }));
}

// Guards against a table that mixes old and new routes: "/a/b/" is removed while "/a/" stays on
// another host, and a path below "/a/b/" arrives.
Test(routes, a_removed_route_is_not_found)
{
    ServingConfig config;
    config.routes = {route("one", "/a/"), route("two", "/a/b/")};
    const RouteTable before(config);
    config.routes = {route("one", "/a/")};
    const RouteTable after(config);
    cr_assert(before.findRoute("two", "/a/b/x") != nullptr);
    cr_assert(after.findRoute("two", "/a/b/x") == nullptr);
}

Test(routes, a_path_without_its_last_slash_is_not_below_the_prefix)
{
    ServingConfig config;
    config.routes = {route("one", "/ab/")};
    const RouteTable table(config);
    cr_assert(table.findRoute("one", "/ab") == nullptr);
    cr_assert(table.findRoute("one", "/abc/") == nullptr);
    cr_assert(table.findRoute("one", "/ab/c") != nullptr);
}

Test(routes, weights_are_kept)
{
    Route split = route("one", "/");
    split.services = {{"a", 90}, {"b", 10}, {"c", 0}};
    int counts[3] = {};
    constexpr int draws = 1000;
    for (int draw = 0; draw < draws; ++draw)
        ++counts[pickService(split, draw / double(draws))[0] - 'a'];
    cr_assert_eq(counts[0], 900);
    cr_assert_eq(counts[1], 100);
    cr_assert_eq(counts[2], 0);
}

Test(routes, only_a_newer_configuration_replaces)
{
    cr_assert(mayReplace(3, 4));
    cr_assert(!mayReplace(4, 4));
    cr_assert(!mayReplace(4, 3));
}

Test(routes, retries_depend_on_the_kind_of_call)
{
    Route any = route("one", "/");
    any.kind = CallKind::Streaming;
    cr_assert(!mayRetry(any));
    any.resumable = true;
    cr_assert(mayRetry(any));
    any.kind = CallKind::NonIdempotent;
    cr_assert(!mayRetry(any));
}
