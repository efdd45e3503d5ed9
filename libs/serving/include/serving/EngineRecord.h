#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "config/Settings.h"
#include "serving/EngineChoice.h"
#include "serving/TargetEntry.h"

namespace monsoonbay {

/**
 * Age of what a holder says of an engine, comparable between holders: a later holder has a later
 * generation, unless it is the same VM after a restart, and that one has started more often.
 */
struct RecordRevision
{
    std::int64_t generation = 0; ///< of the holder's lease
    std::int64_t starts = 0; ///< how often that VM was started
    std::int64_t count = 0; ///< changes told since

    auto operator<=>(const RecordRevision &) const = default;
};

/** What the VM that orders an engine says of it. */
struct EngineRecord
{
    RecordRevision revision;
    std::int64_t startTime = 0; ///< start of the engine that this is of; see TargetEntry
    Endpoint holder;
    bool holderLive = false; ///< that VM may order it now, as far as is known
    ResidentVersions resident;
    std::set<std::string> models; ///< base models that are there
    std::set<std::string> incoming; ///< adapters that are being loaded
    int loading = 0; ///< adapters on their way from the weight store
    // What its holder has learnt of loads, in coarse steps, as each change is told to all.
    double fetchMs = 0; ///< expected time of a load from the weight store, ms
    double copyMs = 0; ///< of one from the engine's own memory, ms
    double copiesKept = 0; ///< loads for which a copy stays there; see HostRetention

    bool operator==(const EngineRecord &) const = default;
};

/** True if `offered` is to take the place of `known`. */
bool mayReplaceRecord(const EngineRecord &known, const EngineRecord &offered) noexcept;

} // namespace monsoonbay
