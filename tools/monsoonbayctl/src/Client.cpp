#include "Client.h"

namespace monsoonbay::ctl {

namespace {

constexpr Duration patience = std::chrono::seconds(10);

} // namespace

HttpResult callNow(const Endpoint &endpoint, const HttpCall &call)
{
    return callBlocking(endpoint, call, patience);
}

HttpResult getNow(const Endpoint &endpoint, const std::string &path)
{
    HttpCall call;
    call.path = path;
    return callNow(endpoint, call);
}

} // namespace monsoonbay::ctl
