#include "serving/EngineRecord.h"

namespace monsoonbay {

// The same revision may come again with another word on whether its holder lives: a relay marks
// the engines of a VM that fell silent, and takes that back when it is heard again.
bool mayReplaceRecord(const EngineRecord &known, const EngineRecord &offered) noexcept
{
    const StartOrder age = compareStarts(known.startTime, offered.startTime);
    if (age != StartOrder::Same)
        return age == StartOrder::Newer;
    if (offered.revision == known.revision)
        return offered.holderLive != known.holderLive;
    return offered.revision > known.revision;
}

} // namespace monsoonbay
