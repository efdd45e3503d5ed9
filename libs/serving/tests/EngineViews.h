#pragma once

#include <string>

#include "serving/EngineChoice.h"

namespace monsoonbay {

/** An idle engine whose lease is held; a load from the weight store takes `fetchMs` there. */
inline EngineView idleEngine(const std::string &id, const ResidentVersions *resident,
                             double fetchMs)
{
    EngineView view;
    view.id = id;
    view.hash = stableHash(id);
    view.slots = 8;
    view.kvTokens = 100000;
    view.idleSlots = 4;
    view.hasHolder = true;
    view.fetchMs = fetchMs;
    view.loadMs = view.fetchMs;
    view.resident = resident;
    return view;
}

} // namespace monsoonbay
