#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/Settings.h"
#include "core/Time.h"

namespace monsoonbay {

/** An adapter in one version that an engine says it holds. */
struct HeldAdapter
{
    std::string adapter; ///< as adapterKey() writes it
    std::int64_t version = 0;

    auto operator<=>(const HeldAdapter &) const = default;
};

/** One target as the platform's list describes it. */
struct TargetEntry
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    int slots = 1;
    bool leaving = false;
    std::string software; ///< version of the target's own software; empty: it does not say
    std::int64_t startTime = 0; ///< when this start of the target began, ms; 0: it does not say
    std::vector<std::string> models;
    std::vector<HeldAdapter> adapters;

    auto operator<=>(const TargetEntry &) const = default;
};

/** How two words about a target stand to each other. */
enum class StartOrder : std::uint8_t {
    Same, ///< of the same start of the target, or one of them does not say
    Newer, ///< the offered word is of a later start: all that was known before is void
    Older, ///< the offered word is of an earlier start and tells nothing any more
};

/** Compares the starts that two words about one target are of; see TargetEntry::born. */
StartOrder compareStarts(std::int64_t knownBorn, std::int64_t offeredBorn) noexcept;

/** Name of an adapter of a model, as it is used as a key: "model/adapter". */
std::string adapterKey(const std::string &model, const std::string &adapter);

} // namespace monsoonbay
