#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

/** An adapter that an engine reports as resident, with its version. */
struct HeldAdapter
{
    std::string adapter; ///< as adapterKey() writes it
    std::int64_t version = 0;

    auto operator<=>(const HeldAdapter &) const = default;
};

/** One target as described by the platform's list. */
struct TargetEntry
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    int slots = 1;
    bool leaving = false;
    std::string software; ///< version of the target's software; empty: unknown
    std::int64_t startTime = 0; ///< start time of the target by its own clock, in ms; 0: unknown
    std::vector<std::string> models;
    std::vector<HeldAdapter> adapters;

    auto operator<=>(const TargetEntry &) const = default;
};

/** How two pieces of information about a target compare by the start they belong to. */
enum class StartOrder : std::uint8_t {
    Same, ///< both belong to the same start, or one of them does not tell
    Newer, ///< the offered one belongs to a later start: everything known before is void
    Older, ///< the offered one belongs to an earlier start and is void
};

/**
 * Compares the starts of a target that two pieces of information belong to; see
 * TargetEntry::startTime.
 */
StartOrder compareStarts(std::int64_t knownStart, std::int64_t offeredStart) noexcept;

/** Key of an adapter of a model: "model/adapter". */
std::string adapterKey(const std::string &model, const std::string &adapter);

} // namespace monsoonbay
