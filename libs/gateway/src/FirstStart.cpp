#include "FirstStart.h"

#include "observe/Events.h"

namespace monsoonbay {

// Settings that are kept over a restart still say `firstStart`. Without the records, each restart
// of all VMs would grant the slack of the retry budget anew.
bool isFirstStart(const GatewayNode &node) noexcept
{
    return node.settings.firstStart && node.earlierBoots == EarlierBoots::None;
}

bool mayBeFirstStart(const GatewayNode &node) noexcept
{
    return node.settings.firstStart && node.earlierBoots != EarlierBoots::Seen;
}

void recordEarlierBoots(GatewayNode &node, bool seen)
{
    node.earlierBoots = seen ? EarlierBoots::Seen : EarlierBoots::None;
    if (seen && node.settings.firstStart)
        logEvent(EventId::FirstStartDenied, {});
}

} // namespace monsoonbay
