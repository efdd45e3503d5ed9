#include "serving/ServiceSpec.h"

#include <algorithm>

namespace monsoonbay {

int adapterCapacity(const EngineSpec &engine, const ModelSpec &model) noexcept
{
    if (model.adapterMb <= 0)
        return engine.adapterSlots;
    const double freeMb = std::max(engine.weightsMb - model.weightsMb, 0.0);
    return std::min(engine.adapterSlots, static_cast<int>(freeMb / model.adapterMb));
}

const ModelSpec *baseModel(const EngineSpec &engine) noexcept
{
    return engine.models.empty() ? nullptr : &engine.models.front();
}

} // namespace monsoonbay
