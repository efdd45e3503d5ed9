#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace monsoonbay {

/**
 * Reads the answer to a request, in pieces. Fields behind the last chunk (trailers) are dropped, so
 * that they can't pass for fields of the head.
 */
class AnswerParser : public boost::beast::http::response_parser<boost::beast::http::buffer_body>
{
private:
    using Field = boost::beast::http::field;
    using Text = boost::beast::string_view;

    void on_field_impl(Field name, Text nameText, Text value,
                       boost::system::error_code &error) override;
};

/**
 * An error unless the head that was read may be part of an answer in HTTP/1.1 to a request that
 * asked for no upgrade: its status is interim or final, and its body, if it has one, comes without
 * a transfer coding or in chunks alone.
 */
boost::system::error_code checkAnswerHead(const boost::beast::http::response_header<> &head);

/** True for a head (1xx) that is followed by another one for the same request. */
bool isInterimHead(const boost::beast::http::response_header<> &head) noexcept;

} // namespace monsoonbay
