#pragma once

#include <memory>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include "transport/HttpServer.h"

namespace monsoonbay {

/** A request to a target, or to another VM. Its body is that of the caller's request. */
using TargetRequest = boost::beast::http::request<boost::beast::http::span_body<const char>>;

/** A request that refers to the body of `source` and keeps it alive. */
inline std::shared_ptr<TargetRequest> requestWithBodyOf(std::shared_ptr<const HttpRequest> source)
{
    struct Shared
    {
        std::shared_ptr<const HttpRequest> source;
        TargetRequest request;
    };
    const auto shared = std::make_shared<Shared>();
    const std::string &body = source->body();
    shared->request.body() = {body.data(), body.size()};
    shared->source = std::move(source);
    return {shared, &shared->request};
}

} // namespace monsoonbay
