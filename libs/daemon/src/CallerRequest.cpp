#include "CallerRequest.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

#include "core/Digest.h"
#include "json/UntrustedJson.h"

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::int64_t maxDeadlineMs = 3'600'000;

CheckedRequest refuse(ErrorKind kind, const std::string &detail)
{
    CheckedRequest checked;
    checked.problem = ProblemDetail{kind, true, detail, {}};
    return checked;
}

// All digests are compared, each in constant time, so that neither the order of services nor a
// common prefix can be learnt from how long the refusal takes.
const Service *serviceOfToken(const Manifest &manifest, const std::string &authorization)
{
    if (!authorization.starts_with(bearerPrefix))
        return nullptr;
    const std::string digest =
        sha256Hex(std::string_view(authorization).substr(bearerPrefix.size()));
    const Service *found = nullptr;
    for (const Service &service : manifest.head.services) {
        if (equalInConstantTime(service.tokenSha256, digest))
            found = &service;
    }
    return found;
}

std::int64_t deadlineMs(const Node &node, const HttpRequest &http, bool &valid)
{
    const std::string text = headerOf(http, "Monsoonbay-Deadline-Ms");
    std::int64_t value = node.settings.defaultDeadlineMs;
    valid = true;
    if (text.empty())
        return value;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    valid = error == std::errc() && end == text.data() + text.size() && value > 0
        && value <= maxDeadlineMs;
    return value;
}

bool matchesCall(const std::string &pattern, const std::string &call)
{
    if (!pattern.empty() && pattern.back() == '*')
        return call.starts_with(pattern.substr(0, pattern.size() - 1));
    return pattern == call;
}

const PlainService *plainServiceOf(const Manifest &manifest, const std::string &path)
{
    for (const PlainService &plain : manifest.head.plainServices) {
        const bool below = path.starts_with(plain.path)
            && (path.size() == plain.path.size() || path[plain.path.size()] == '/'
                || path[plain.path.size()] == '?');
        if (below)
            return &plain;
    }
    return nullptr;
}

CheckedRequest checkModelRequest(const Manifest &manifest, const Service &service,
                                 CallerRequest request)
{
    Json body = parseJson(request.body, maxCallerDepth);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return refuse(ErrorKind::BadRequest,
                      "the body has to be a JSON object with \"model\", nested at most "
                          + std::to_string(maxCallerDepth) + " levels");
    request.adapter = parseAdapterRef(body["model"].get<std::string>());
    if (request.adapter.name.empty())
        return refuse(ErrorKind::BadRequest, "\"model\" has to be adapter@version");
    const AdapterEntry *entry = manifest.adapters.find(request.adapter.id());
    if (entry == nullptr || entry->ref != request.adapter)
        return refuse(ErrorKind::UnknownAdapter, request.adapter.text());
    if (!service.mayCallAdapter(request.adapter.name))
        return refuse(ErrorKind::Forbidden, request.adapter.text());
    if (body.contains("stream") && !body["stream"].is_boolean())
        return refuse(ErrorKind::BadRequest, "\"stream\" has to be true or false");
    request.streamed = body.value("stream", false);
    body["request_id"] = request.id;
    body["priority"] = request.priority;
    request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    CheckedRequest checked;
    checked.request = std::move(request);
    return checked;
}

CheckedRequest checkPlainRequest(const Manifest &manifest, const Service &service,
                                 CallerRequest request)
{
    const PlainService *plain = plainServiceOf(manifest, request.path);
    if (plain == nullptr)
        return refuse(ErrorKind::UnknownService, request.path);
    if (!service.mayCallPlain(plain->name))
        return refuse(ErrorKind::Forbidden, plain->name);
    request.plainService = plain->name;
    const std::string call = request.method + " " + request.path;
    const bool declared =
        std::any_of(plain->nonIdempotent.begin(), plain->nonIdempotent.end(),
                    [&call](const std::string &pattern) { return matchesCall(pattern, call); });
    request.idempotent = request.idempotent && !declared;
    CheckedRequest checked;
    checked.request = std::move(request);
    return checked;
}

} // namespace

CheckedRequest checkRequest(Node &node, const HttpRequest &http)
{
    const std::shared_ptr<const Manifest> manifest = manifestInForce(node);
    const Service *service = serviceOfToken(*manifest, headerOf(http, "Authorization"));
    if (service == nullptr)
        return refuse(ErrorKind::Unauthorized, "");
    bool validDeadline = false;
    const std::int64_t milliseconds = deadlineMs(node, http, validDeadline);
    if (!validDeadline)
        return refuse(ErrorKind::BadRequest,
                      "Monsoonbay-Deadline-Ms has to be a number from 1 to 3600000");
    CallerRequest request;
    request.id = node.settings.vm + "-" + std::to_string(node.incarnation) + "-"
        + std::to_string(node.nextRequest++);
    request.method = std::string(http.method_string());
    request.path = std::string(http.target());
    request.body = http.body();
    request.contentType = headerOf(http, "Content-Type");
    request.traceparent = headerOf(http, "traceparent");
    request.service = ServiceId::of(service->name);
    request.serviceName = service->name;
    request.share = service->share;
    request.priority = service->priority;
    request.idempotencyKey = headerOf(http, "Idempotency-Key");
    request.idempotent = headerOf(http, "Monsoonbay-Non-Idempotent") != "true";
    request.fingerprint = stableHash(http.body(), stableHash(request.method + request.path));
    request.arrived = BootClock::now();
    request.deadline = request.arrived + std::chrono::milliseconds(milliseconds);
    const bool isModel = request.method == "POST"
        && (request.path == "/v1/completions" || request.path == "/v1/chat/completions");
    if (isModel)
        return checkModelRequest(*manifest, *service, std::move(request));
    return checkPlainRequest(*manifest, *service, std::move(request));
}

} // namespace monsoonbay
