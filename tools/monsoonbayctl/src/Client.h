#pragma once

#include <string>

#include "transport/HttpClient.h"

namespace monsoonbay::ctl {

/** Sends a request and waits for the whole response, up to 10 s. */
HttpResult sendCall(const Endpoint &endpoint, const HttpCall &call);

/** Sends a GET request for a path. */
HttpResult sendGet(const Endpoint &endpoint, const std::string &path);

} // namespace monsoonbay::ctl
