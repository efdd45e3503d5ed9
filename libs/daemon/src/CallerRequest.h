#pragma once

#include <optional>
#include <string>

#include "Node.h"
#include "ProblemReply.h"

namespace monsoonbay {

/** A caller's request that passed the checks on arrival. */
struct CallerRequest
{
    std::string id;
    std::string method;
    std::string path;
    std::string body; ///< as it goes to the target
    std::string contentType;
    std::string traceparent;
    ServiceId service;
    std::string serviceName;
    double share = 1;
    int priority = 5;
    AdapterRef adapter; ///< empty for a plain service
    std::string plainService;
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0;
    bool streamed = false;
    bool idempotent = true;
    Instant arrived{};
    Instant deadline{};

    bool isModel() const noexcept
    {
        return !this->adapter.name.empty();
    }
};

/** A request that passed the checks, or what is wrong with it. */
struct CheckedRequest
{
    CallerRequest request;
    std::optional<ProblemDetail> problem;
};

/** Checks token, path, adapter, rights and headers against the manifest in force. */
CheckedRequest checkRequest(Node &node, const HttpRequest &http);

} // namespace monsoonbay
