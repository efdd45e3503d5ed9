#pragma once

#include "core/Time.h"

namespace monsoonbay {

/** What a VM hears of the load that other VMs put on engines. */
struct NewsFacts
{
    Duration regular{}; ///< age of the news while all VMs exchange them
    Duration sinceWord{}; ///< since another VM told anything
    Duration sinceAll{}; ///< since all known VMs were heard
    int vmsHeard = 1; ///< VMs whose load is known, this one among them
    int vmsKnown = 1;

    auto operator<=>(const NewsFacts &) const = default;
};

/** Age of what this VM knows of the load of engines, in the mean over all calls there. */
Duration newsAge(const NewsFacts &facts) noexcept;

} // namespace monsoonbay
