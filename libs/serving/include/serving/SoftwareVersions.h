#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/Time.h"

namespace monsoonbay {

/** When targets of one software version could take work, as known to this VM. */
struct SoftwareObservation
{
    Instant since{};
    Instant lastAt{};

    auto operator<=>(const SoftwareObservation &) const = default;
};

/** Software versions of the targets of one service that were seen recently. */
struct SoftwareVersions
{
    std::map<std::string, SoftwareObservation> seen; ///< by the version in the targets' entries

    auto operator<=>(const SoftwareVersions &) const = default;
};

/**
 * A version that is new next to others starts no streams for this time. After it every VM whose
 * target list is current knows of the version, and none assumes that the others are the only ones.
 */
constexpr Duration softwareSettleTime = std::chrono::milliseconds(2000);

/**
 * True if the targets' entries state versions; an entry without one then means that the version is
 * not known yet.
 */
bool namesVersions(const SoftwareVersions &versions);

/**
 * Targets of that version can take work at `now`. An empty version is ignored if others are named.
 */
void recordSoftware(SoftwareVersions &versions, const std::string &software, Instant now);

/** Removes versions whose targets were last able to take work before `before`. */
void forgetSoftware(SoftwareVersions &versions, Instant before);

/** The only version seen since then; nothing if there was none, or more than one. */
std::optional<std::string> onlySoftware(const SoftwareVersions &versions, Instant since);

/** False if no streams may start at that version yet; see softwareSettleTime. */
bool isSettled(const SoftwareVersions &versions, const std::string &software, Instant now);

} // namespace monsoonbay
