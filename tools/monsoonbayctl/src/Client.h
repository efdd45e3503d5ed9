#pragma once

#include <string>

#include "transport/HttpClient.h"

namespace monsoonbay::ctl {

/** One call, to its end. */
HttpResult sendCall(const Endpoint &endpoint, const HttpCall &call);

/** GET of a path. */
HttpResult sendGet(const Endpoint &endpoint, const std::string &path);

} // namespace monsoonbay::ctl
