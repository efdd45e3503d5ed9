#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** A base model that the engines of a service can serve. */
struct ModelSpec
{
    std::string name;
    double weightsMb = 0;
    int adapters = 0; ///< number of existing adapters
    double adapterMb = 0;
    Duration loadTime{}; ///< time to load the model from the weight store without concurrent loads

    auto operator<=>(const ModelSpec &) const = default;
};

/** Capacities of the engines of a service. */
struct EngineSpec
{
    int slots = 1; ///< requests that run at once
    double kvTokens = 0; ///< KV memory for running and cached prompts, in tokens
    double weightsMb = 0; ///< memory for the weights of models and adapters together
    int adapterSlots = 0;
    double modelLoadsPerSecond = 0; ///< from the weight store, over all engines
    std::vector<ModelSpec> models;

    auto operator<=>(const EngineSpec &) const = default;
};

/**
 * Number of adapters that fit next to `model` into an engine's slots and memory; an engine that is
 * commanded to load more crashes.
 */
int adapterCapacity(const EngineSpec &engine, const ModelSpec &model) noexcept;

/** The model whose adapters are served; null if there is none. */
const ModelSpec *baseModel(const EngineSpec &engine) noexcept;

/** A service: targets without adapters, or engines if `engine` is set. */
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< to one target, from all VMs together
    std::optional<EngineSpec> engine;

    auto operator<=>(const ServiceSpec &) const = default;
};

} // namespace monsoonbay
