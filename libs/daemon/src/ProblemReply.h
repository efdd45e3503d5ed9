#pragma once

#include <string>

#include "core/Error.h"
#include "core/Time.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** The error reported to the caller of a request that was not answered. */
struct ProblemDetail
{
    ErrorKind kind = ErrorKind::BadRequest;
    bool notRun = true;
    std::string detail;
    Duration retryAfter{};
};

/** An RFC 9457 problem document with a stable type, notRun, and Retry-After where it applies. */
HttpReply problemReply(const ProblemDetail &problem);

/** The same as the last event of a stream that has begun. */
std::string problemEvent(const ProblemDetail &problem);

} // namespace monsoonbay
