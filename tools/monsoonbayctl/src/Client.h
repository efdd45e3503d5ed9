#pragma once

#include <string>

#include "transport/HttpClient.h"

namespace monsoonbay::ctl {

/** One call, to its end. */
HttpResult callNow(const Endpoint &endpoint, const HttpCall &call);

/** GET of a path. */
HttpResult getNow(const Endpoint &endpoint, const std::string &path);

} // namespace monsoonbay::ctl
