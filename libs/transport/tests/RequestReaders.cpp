#include <algorithm>
#include <sstream>
#include <string>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "transport/RequestReader.h"

using namespace monsoonbay;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t maxBody = 20000;

/** How the reading of some bytes ended. */
struct Outcome
{
    bool whole = false;
    std::string body;
    std::size_t fields = 0;
    std::size_t mostHeld = 0; ///< bytes that the reader asked for at once
    boost::system::error_code error;
};

RequestLimits testLimits()
{
    RequestLimits limits;
    limits.maxHeaderBytes = 2048;
    limits.maxBodyBytes = maxBody;
    limits.maxChunkHeadBytes = 4096;
    limits.headerTimeout = 5s;
    limits.bodyTimeout = 5s;
    return limits;
}

asio::awaitable<void> sendPieces(tcp::socket &socket, std::string bytes, std::size_t pieceBytes)
{
    constexpr auto nothrow = asio::as_tuple(asio::use_awaitable);
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        const std::string piece = bytes.substr(at, pieceBytes);
        auto [error, sent] = co_await asio::async_write(socket, asio::buffer(piece), nothrow);
        if (error)
            co_return;
    }
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> sendWithoutEnd(tcp::socket &socket, std::string head, std::string piece)
{
    constexpr auto nothrow = asio::as_tuple(asio::use_awaitable);
    auto [error, sent] = co_await asio::async_write(socket, asio::buffer(head), nothrow);
    while (!error) {
        auto [next, bytes] = co_await asio::async_write(socket, asio::buffer(piece), nothrow);
        error = next;
    }
}

asio::awaitable<bool> answerHold(bool allowed)
{
    co_return allowed;
}

asio::awaitable<void> readRequest(boost::beast::tcp_stream &stream, RequestLimits limits,
                                  std::size_t maxHeld, Outcome &outcome)
{
    boost::beast::flat_buffer buffer;
    const RequestReader::Hold hold = [&](std::size_t bytes) {
        outcome.mostHeld = std::max(outcome.mostHeld, bytes);
        return answerHold(bytes <= maxHeld);
    };
    RequestReader reader(stream, buffer, limits, hold);
    outcome.error = co_await reader.readHead();
    if (!outcome.error)
        outcome.error = co_await reader.readBody();
    if (!outcome.error) {
        const HttpRequest request = reader.release();
        outcome.whole = true;
        outcome.body = request.body();
        outcome.fields = static_cast<std::size_t>(std::distance(request.begin(), request.end()));
    }
    stream.close();
}

Outcome readFrom(const std::string &bytes, std::size_t pieceBytes, std::size_t maxHeld = 1 << 20)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    caller.set_option(tcp::no_delay(true));
    boost::beast::tcp_stream stream(acceptor.accept());
    Outcome outcome;
    asio::co_spawn(context, readRequest(stream, testLimits(), maxHeld, outcome), asio::detached);
    asio::co_spawn(context, sendPieces(caller, bytes, pieceBytes), asio::detached);
    context.run();
    return outcome;
}

/** What Beast's own parser makes of the same bytes at once. */
Outcome parseWhole(const std::string &bytes)
{
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.header_limit(testLimits().maxHeaderBytes);
    parser.body_limit(testLimits().maxBodyBytes);
    Outcome outcome;
    std::size_t at = 0;
    while (at < bytes.size() && !parser.is_done() && !outcome.error)
        at += parser.put(asio::buffer(bytes.data() + at, bytes.size() - at), outcome.error);
    outcome.whole = parser.is_done() && !outcome.error;
    if (outcome.whole) {
        outcome.body = parser.get().body();
        outcome.fields =
            static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
    }
    return outcome;
}

std::string chunked(const std::string &body, std::size_t chunkBytes)
{
    std::ostringstream text;
    for (std::size_t at = 0; at < body.size(); at += chunkBytes) {
        const std::string chunk = body.substr(at, chunkBytes);
        text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
    }
    text << "0\r\n\r\n";
    return text.str();
}

/** A request, mostly proper, with what callers do to smuggle one among its fields. */
std::string drawRequest()
{
    const auto body = *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
    const bool inChunks = *rc::gen::arbitrary<bool>();
    std::string text = "POST /x HTTP/1.1\r\nHost: h\r\n";
    const auto odd = *rc::gen::element<std::string>(
        "", "", "", "A: b\r\n", "Content-Length: 18446744073709551616\r\n",
        "Content-Length: 18446744073709551615\r\n", "Content-Length: -1\r\n",
        "Transfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Content-Length: 3\r\n", "B: c\nContent-Length: 2\r\n", " folded: x\r\n", "C\r\n");
    text += odd;
    if (inChunks)
        text += "Transfer-Encoding: chunked\r\n\r\n"
            + chunked(body, *rc::gen::inRange<std::size_t>(1, 40));
    else
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const bool cut = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    if (cut)
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    const bool changed = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    if (changed && !text.empty())
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    return text;
}

} // namespace

// A request that is read in pieces ends otherwise than the same request at once.
Test(request_readers, read_as_the_parser_does_whatever_the_pieces)
{
    const bool same = rc::check([] {
        const std::string text = drawRequest();
        const auto piece = *rc::gen::inRange<std::size_t>(1, 64);
        const Outcome expected = parseWhole(text);
        const Outcome read = readFrom(text, piece);
        RC_ASSERT(read.whole == expected.whole);
        RC_ASSERT(read.body == expected.body);
        RC_ASSERT(read.fields == expected.fields);
    });
    cr_assert(same);
}

// Announced bytes that never come occupy the memory of those that would.
Test(request_readers, announced_bytes_are_not_held)
{
    const Outcome outcome =
        readFrom("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\nabc", 1000);
    cr_assert(!outcome.whole);
    cr_assert_lt(outcome.mostHeld, maxBody);
}

// A body for which there is no memory is read to its end all the same.
Test(request_readers, a_body_without_room_is_refused)
{
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n";
    const Outcome outcome = readFrom(head + std::string(20000, 'b'), 4000, 16000);
    cr_assert(!outcome.whole);
    cr_assert_eq(outcome.error, RequestReader::noRoom());
}

// Fields of four bytes occupy far more than these, and only their bytes count.
Test(request_readers, short_fields_count_with_what_they_occupy)
{
    std::string text = "GET /x HTTP/1.1\r\nHost: h\r\n";
    constexpr std::size_t fields = 400;
    for (std::size_t field = 0; field < fields; ++field)
        text += "a:\r\n";
    const Outcome outcome = readFrom(text + "\r\n", 100);
    cr_assert(outcome.whole);
    cr_assert_gt(outcome.mostHeld, fields * 64);
}

// A header beyond its limit, or a chunk's extension without an end, is read for ever.
Test(request_readers, what_has_no_end_is_refused)
{
    const Outcome head = readFrom("GET /x HTTP/1.1\r\na: " + std::string(10000, 'a'), 500);
    cr_assert_eq(head.error, http::error::header_limit);
    const std::string begin = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const Outcome extension = readFrom(begin + "1;" + std::string(90000, 'e'), 500);
    cr_assert(extension.error);
    cr_assert(!extension.whole);
    std::string trailers = begin + "1\r\nt\r\n0\r\n";
    for (int field = 0; field < 4000; ++field)
        trailers += "a:\r\n";
    const Outcome trailer = readFrom(trailers + "\r\n", 500);
    cr_assert(trailer.error, "%zu fields", trailer.fields);
}

// A caller that always has data ready is never timed out, as its reads never wait.
Test(request_readers, a_time_limit_holds_beside_data_without_a_pause)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    boost::beast::tcp_stream stream(acceptor.accept());
    RequestLimits limits;
    limits.maxBodyBytes = ~std::uint64_t{0};
    limits.bodyTimeout = 50ms;
    Outcome outcome;
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunks = chunked(std::string(64UL * 1024, 'b'), 1024);
    asio::co_spawn(context, readRequest(stream, limits, ~std::size_t{0}, outcome), asio::detached);
    asio::co_spawn(context, sendWithoutEnd(caller, head, chunks.substr(0, chunks.size() - 5)),
                   asio::detached);
    context.run();
    cr_assert_eq(outcome.error, boost::beast::error::timeout, "%s",
                 outcome.error.message().c_str());
}

// The last chunk of an answer comes in pieces, and an assert of the parser ends the process.
Test(request_readers, the_last_chunk_of_an_answer_may_come_in_pieces)
{
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    boost::system::error_code error;
    parser.put(asio::buffer(head), error);
    for (const std::string_view last : {"0\r\n", "0\r\n\r", "0\r\n\r\n"})
        parser.put(asio::buffer(last), error);
    cr_assert(!error);
    cr_assert(parser.is_done());
}
