#include "ProblemReply.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

Json problemJson(const ProblemDetail &problem)
{
    Json json{{"type", "urn:monsoonbay:" + std::string(errorName(problem.kind))},
              {"title", make_error_code(problem.kind).message()},
              {"status", httpStatusOf(problem.kind)},
              {"notRun", problem.notRun}};
    if (!problem.detail.empty())
        json["detail"] = problem.detail;
    return json;
}

// Rounded up to whole seconds, as the header requires; a caller that retries early only waits.
std::string retryAfterSeconds(Duration wait)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return std::to_string(std::max<std::int64_t>(1, seconds));
}

} // namespace

HttpReply problemReply(const ProblemDetail &problem)
{
    HttpReply reply;
    reply.status = httpStatusOf(problem.kind);
    reply.contentType = "application/problem+json";
    reply.body = problemJson(problem).dump(-1, ' ', false, Json::error_handler_t::replace);
    const bool retryable = problem.notRun && (reply.status == 503 || reply.status == 409);
    if (retryable || problem.retryAfter > Duration{})
        reply.headers.push_back({"Retry-After", retryAfterSeconds(problem.retryAfter)});
    return reply;
}

std::string problemEvent(const ProblemDetail &problem)
{
    return "event: error\ndata: "
        + problemJson(problem).dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
}

} // namespace monsoonbay
