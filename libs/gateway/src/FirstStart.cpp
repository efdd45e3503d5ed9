#include "FirstStart.h"

#include "observe/Events.h"

namespace monsoonbay {

// A VM that is started again with the settings that it had is told at each start that it is the
// first. When it was believed, each kill of all VMs gave them the slack of the retry budget anew.
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
