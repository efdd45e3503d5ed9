#pragma once

#include "quota/UsageSnapshot.h"
#include "quota/UsageSnapshotWriter.h"

namespace monsoonbay {

/** Notes of the use of workspaces, at one VM. */
struct UsageSnapshotState
{
    StartupSnapshots atStart;
    UsagePermits permits; ///< by the notes of this zone
    UsageSnapshotWriter noting; ///< while this VM writes them
    bool writes = false;
};

} // namespace monsoonbay
