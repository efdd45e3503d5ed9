#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/Time.h"

namespace monsoonbay {

/** When targets of one version of their software could take work, as far as this VM knows. */
struct SoftwareObservation
{
    Instant since{};
    Instant lastAt{};

    auto operator<=>(const SoftwareObservation &) const = default;
};

/** The versions of their software that targets of one service have had lately. */
struct SoftwareVersions
{
    std::map<std::string, SoftwareObservation> seen; ///< by the name that the targets' entries give

    auto operator<=>(const SoftwareVersions &) const = default;
};

/**
 * A version that is new beside others gets no streams for so long. By then each VM whose list of
 * targets is not old knows of it, and none takes the others for the only ones.
 */
constexpr Duration softwareSettleTime = std::chrono::milliseconds(2000);

/** True if the targets' entries name their versions; then one without a name is not known yet. */
bool namesVersions(const SoftwareVersions &versions);

/** Targets of that version can take work at `now`; a version that is not known yet is none. */
void recordSoftware(SoftwareVersions &versions, const std::string &software, Instant now);

/** Forgets the versions of which no target has taken work since then. */
void forgetSoftware(SoftwareVersions &versions, Instant before);

/** The one version that targets have had since then; nothing: none, or several. */
std::optional<std::string> onlySoftware(const SoftwareVersions &versions, Instant since);

/** False if streams are not to begin at that version yet; see softwareSettleTime. */
bool isSettled(const SoftwareVersions &versions, const std::string &software, Instant now);

} // namespace monsoonbay
