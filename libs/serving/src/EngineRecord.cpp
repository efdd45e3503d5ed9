#include "serving/EngineRecord.h"

namespace monsoonbay {

// The same revision may arrive again with another value of `holderLive`: a relay clears it for the
// engines of a VM that fell silent, and sets it again when that VM reports again.
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
