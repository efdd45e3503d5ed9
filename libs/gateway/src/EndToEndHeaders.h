#pragma once

#include <vector>

#include <boost/beast/http/fields.hpp>

#include "transport/HttpServer.h"

namespace monsoonbay {

/** Headers that go through to the other side, in their order. */
std::vector<HttpHeader> endToEndHeaders(const boost::beast::http::fields &fields);

} // namespace monsoonbay
