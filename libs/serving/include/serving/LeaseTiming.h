#pragma once

#include <compare>

#include "core/Time.h"

namespace monsoonbay {

/** Times that keep two holders from sending commands at the same time. */
struct LeaseTiming
{
    Duration ttl = std::chrono::milliseconds(2000); ///< silence after which the store reassigns
    Duration margin = std::chrono::milliseconds(300); ///< longest time that a command is in flight
    Duration handoverGap = std::chrono::milliseconds(3000); ///< between the commands of two holders
    /** The report of another VM is valid this long; state updates are five times as frequent. */
    Duration peerStateTtl = std::chrono::milliseconds(1000);
    /** A VM that was silent for this long is taken as gone; tolerated outages last 12 s at most. */
    Duration goneAfter = std::chrono::seconds(40);
    /**
     * A VM that the holders may not know waits this long for the reports of all VMs: until a holder
     * that goes on without it, in a tolerated outage, has stopped.
     */
    Duration newMemberWait = std::chrono::seconds(15);

    auto operator<=>(const LeaseTiming &) const = default;
};

} // namespace monsoonbay
