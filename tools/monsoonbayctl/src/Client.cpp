#include "Client.h"

namespace monsoonbay::ctl {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(10);

} // namespace

HttpResult sendCall(const Endpoint &endpoint, const HttpCall &call)
{
    return callBlocking(endpoint, call, callTimeout);
}

HttpResult sendGet(const Endpoint &endpoint, const std::string &path)
{
    HttpCall call;
    call.path = path;
    return sendCall(endpoint, call);
}

} // namespace monsoonbay::ctl
