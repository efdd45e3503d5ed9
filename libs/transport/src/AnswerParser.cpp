#include "transport/AnswerParser.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

/** True if no transfer coding is named, or "chunked" alone, once. */
bool isFramingKnown(const boost::beast::http::response_header<> &head)
{
    const auto codings = head.equal_range(http::field::transfer_encoding);
    if (codings.first == codings.second)
        return true;
    const bool isOne = std::next(codings.first) == codings.second;
    return isOne && boost::beast::iequals(codings.first->value(), "chunked");
}

} // namespace

void AnswerParser::on_field_impl(Field name, Text nameText, Text value,
                                 boost::system::error_code &error)
{
    error = {};
    if (!this->is_header_done())
        this->get().insert(name, nameText, value);
}

// Beast takes any three digits for a status, and a body whose last transfer coding it doesn't know
// for one that ends with the connection. Then bytes of a body, or of its framing, are read as the
// next answer, or are passed on as content.
boost::system::error_code checkAnswerHead(const boost::beast::http::response_header<> &head)
{
    const unsigned status = head.result_int();
    if (status < firstStatus || status > lastStatus || status == switchingProtocols)
        return http::make_error_code(http::error::bad_status);
    if (!isFramingKnown(head))
        return http::make_error_code(http::error::bad_transfer_encoding);
    const bool hasFraming = head.count(http::field::transfer_encoding) > 0
        || head.count(http::field::content_length) > 0;
    if (isInterimHead(head) && hasFraming)
        return http::make_error_code(http::error::bad_content_length);
    return {};
}

bool isInterimHead(const boost::beast::http::response_header<> &head) noexcept
{
    return head.result_int() < firstFinalStatus;
}

} // namespace monsoonbay
