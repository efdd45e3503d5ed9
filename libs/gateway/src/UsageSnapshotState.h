#pragma once

#include "quota/UsageSnapshot.h"
#include "quota/UsageSnapshotWriter.h"

namespace monsoonbay {

/** Usage snapshots of workspaces, at one VM. */
struct UsageSnapshotState
{
    StartupSnapshots atStart;
    UsagePermits permits; ///< by the snapshots of this zone
    UsageSnapshotWriter writer; ///< used while this VM writes them
    bool writes = false; ///< this VM writes the snapshots of its zone
};

} // namespace monsoonbay
