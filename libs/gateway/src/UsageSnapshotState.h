#pragma once

#include "quota/SpendNote.h"
#include "quota/SpendNoting.h"

namespace monsoonbay {

/** Notes of the use of workspaces, at one VM. */
struct UsageSnapshotState
{
    NotesAtStart atStart;
    SpendPermits permits; ///< by the notes of this zone
    SpendNoting noting; ///< while this VM writes them
    bool writes = false;
};

} // namespace monsoonbay
