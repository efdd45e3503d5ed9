#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "core/Time.h"

namespace monsoonbay {

/** A base model that engines of a service may hold. */
struct ModelSpec
{
    std::string name;
    double weightsMb = 0;
    int adapters = 0; ///< how many adapters exist
    double adapterMb = 0;
    Duration loadTime{}; ///< of the model from the weight store, alone

    auto operator<=>(const ModelSpec &) const = default;
};

/** Sizes of the engines of a service. */
struct EngineSpec
{
    int slots = 1; ///< requests that run at once
    double kvTokens = 0; ///< tokens that fit into the memory for running and cached prompts
    double weightsMb = 0; ///< memory for weights of models and adapters together
    int adapterSlots = 0;
    double modelLoadsPerSecond = 0; ///< from the weight store, over all engines
    std::vector<ModelSpec> models;

    auto operator<=>(const EngineSpec &) const = default;
};

/**
 * Adapters that an engine holds beside `model` without passing its slots or its memory; an engine
 * that is ordered to hold more crashes.
 */
int adapterCapacity(const EngineSpec &engine, const ModelSpec &model) noexcept;

/** The model whose adapters are served; null if the engine has none. */
const ModelSpec *baseModel(const EngineSpec &engine) noexcept;

/** A service: plain targets, or engines if `engine` is set. */
struct ServiceSpec
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; ///< to one target, over all VMs
    std::optional<EngineSpec> engine;

    auto operator<=>(const ServiceSpec &) const = default;
};

} // namespace monsoonbay
