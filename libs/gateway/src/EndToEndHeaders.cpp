#include "EndToEndHeaders.h"

#include <string_view>

#include <boost/beast/http/rfc7230.hpp>

namespace monsoonbay {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Headers that concern a single connection are dropped; all others are passed on unchanged.
bool isPassedOn(const http::fields::value_type &header)
{
    switch (header.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return false;
    default:
        return true;
    }
}

/** Prefix of the headers between two VMs, which are not passed on. */
constexpr std::string_view internalPrefix = "Monsoonbay-";

bool isInternal(std::string_view name)
{
    return name.size() > internalPrefix.size()
        && beast::iequals(beast::string_view(name.data(), internalPrefix.size()),
                          beast::string_view(internalPrefix.data(), internalPrefix.size()));
}

/** True if the Connection header lists that name as one more that is not passed on. */
bool isNamedByConnection(std::string_view connection, std::string_view name)
{
    return http::token_list(beast::string_view(connection.data(), connection.size()))
        .exists(beast::string_view(name.data(), name.size()));
}

} // namespace

std::vector<HttpHeader> endToEndHeaders(const http::fields &fields)
{
    const auto listed = fields[http::field::connection];
    const std::string_view connection(listed.data(), listed.size());
    std::vector<HttpHeader> headers;
    for (const auto &header : fields) {
        if (!isPassedOn(header))
            continue;
        const std::string name(header.name_string());
        if (isInternal(name))
            continue;
        if (!connection.empty() && isNamedByConnection(connection, name))
            continue;
        headers.push_back({name, std::string(header.value())});
    }
    return headers;
}

} // namespace monsoonbay
