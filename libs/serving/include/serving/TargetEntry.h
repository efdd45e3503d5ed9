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
    std::string id; ///< new at each start of the target
    std::string service;
    Endpoint endpoint;
    std::string zone;
    int slots = 1;
    bool leaving = false;
    std::vector<std::string> models;
    std::vector<HeldAdapter> adapters;

    auto operator<=>(const TargetEntry &) const = default;
};

/** Name of an adapter of a model, as it is used as a key: "model/adapter". */
std::string adapterKey(const std::string &model, const std::string &adapter);

} // namespace monsoonbay
