#pragma once

#include <vector>

#include <boost/beast/http/fields.hpp>

#include "transport/HttpServer.h"

namespace monsoonbay {

/** The headers that are passed on to the other side, in their order. */
std::vector<HttpHeader> endToEndHeaders(const boost::beast::http::fields &fields);

} // namespace monsoonbay
