#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "config/Settings.h"
#include "serving/EngineChoice.h"
#include "serving/TargetEntry.h"

namespace monsoonbay {

/**
 * Orders the records that an engine's lease holders report. A later holder has a later generation,
 * unless it is the same VM after a restart, which then has a higher start count.
 */
struct RecordRevision
{
    std::int64_t generation = 0; ///< number of the holder's; see LeaseGeneration
    std::int64_t starts = 0; ///< start count of that VM
    std::int64_t count = 0; ///< changes reported since then

    auto operator<=>(const RecordRevision &) const = default;
};

/** What the lease holder of an engine reports about it. */
struct EngineRecord
{
    RecordRevision revision;
    std::int64_t startTime = 0; ///< start time of the engine process described; see TargetEntry
    Endpoint holder;
    bool holderLive = false; ///< that VM may send it commands now, as far as is known
    ResidentVersions resident;
    std::set<std::string> models; ///< loaded base models
    std::set<std::string> incoming; ///< adapters that are being loaded
    int loading = 0; ///< adapters being fetched from the weight store
    // Learnt from loads by the holder, in coarse steps, as each change is sent to all VMs.
    double fetchMs = 0; ///< expected time of a load from the weight store, ms
    double copyMs = 0; ///< expected time of a load from the engine's own memory, ms
    double copiesKept = 0; ///< loads for which a copy stays there; see HostRetention

    bool operator==(const EngineRecord &) const = default;
};

/** True if `offered` replaces `known`. */
bool mayReplaceRecord(const EngineRecord &known, const EngineRecord &offered) noexcept;

} // namespace monsoonbay
