#include "serving/Route.h"

namespace monsoonbay {

bool mayRetry(const Route &route) noexcept
{
    if (route.kind == CallKind::Streaming)
        return route.resumable;
    return route.kind == CallKind::Idempotent;
}

} // namespace monsoonbay
