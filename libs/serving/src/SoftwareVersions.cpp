#include "serving/SoftwareVersions.h"

#include <algorithm>

namespace monsoonbay {

bool namesVersions(const SoftwareVersions &versions)
{
    return std::any_of(versions.seen.begin(), versions.seen.end(),
                       [](const auto &entry) { return !entry.first.empty(); });
}

void recordSoftware(SoftwareVersions &versions, const std::string &software, Instant now)
{
    if (software.empty() && namesVersions(versions))
        return;
    const auto [found, added] = versions.seen.try_emplace(software);
    if (added)
        found->second.since = now;
    found->second.lastAt = now;
}

void forgetSoftware(SoftwareVersions &versions, Instant before)
{
    std::erase_if(versions.seen,
                  [before](const auto &entry) { return entry.second.lastAt < before; });
}

std::optional<std::string> onlySoftware(const SoftwareVersions &versions, Instant since)
{
    std::optional<std::string> only;
    for (const auto &[software, seen] : versions.seen) {
        if (seen.lastAt < since)
            continue;
        if (only)
            return std::nullopt;
        only = software;
    }
    return only;
}

// A version that was there before all others does not have to settle.
bool isSettled(const SoftwareVersions &versions, const std::string &software, Instant now)
{
    const auto found = versions.seen.find(software);
    if (found == versions.seen.end())
        return versions.seen.empty();
    if (now - found->second.since >= softwareSettleTime)
        return true;
    return std::none_of(versions.seen.begin(), versions.seen.end(), [&](const auto &other) {
        return other.second.since < found->second.since;
    });
}

} // namespace monsoonbay
