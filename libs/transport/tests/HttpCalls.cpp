#include "transport/HttpClient.h"

#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace monsoonbay;
using namespace std::chrono_literals;

namespace {

using tcp = asio::ip::tcp;

/** A listening socket on loopback whose connections buffer little. */
class Server
{
public:
    Server()
        : acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        constexpr int bufferBytes = 16 * 1024;
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(bufferBytes));
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    tcp::socket accept()
    {
        return this->acceptor.accept();
    }

private:
    asio::io_context context;
    tcp::acceptor acceptor;
};

/** A call whose answer goes on without end after `beginning` fails before much of it was taken. */
void checkEnds(const std::string &beginning)
{
    constexpr std::size_t maxBytesTaken = 32UL * 1024 * 1024;
    Server server;
    std::size_t total = 0;
    std::thread writer([&] {
        tcp::socket connection = server.accept();
        boost::system::error_code error;
        asio::write(connection, asio::buffer(beginning), error);
        const std::string block(64 * 1024, 'x');
        while (!error)
            total += asio::write(connection, asio::buffer(block), error);
    });
    HttpCall call;
    call.maxResponseBytes = 1024 * 1024;
    const HttpResult result = callBlocking(server.endpoint(), call, 3s);
    writer.join();
    cr_assert(result.error);
    cr_assert_lt(total, maxBytesTaken);
}

/** The result of a call that is answered with these bytes, after which the connection closes. */
HttpResult resultOf(const std::string &answer)
{
    Server server;
    std::thread writer([&] {
        tcp::socket connection = server.accept();
        std::string request(4096, '\0');
        boost::system::error_code error;
        connection.read_some(asio::buffer(request), error);
        asio::write(connection, asio::buffer(answer), error);
    });
    const HttpResult result = callBlocking(server.endpoint(), HttpCall(), 3s);
    writer.join();
    return result;
}

} // namespace

// Guards against an interim answer that is taken for the answer, which then waits on the connection
// for the next call.
Test(http_calls, an_interim_answer_is_not_the_answer)
{
    const HttpResult result = resultOf("HTTP/1.1 102 Processing\r\n\r\n"
                                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    cr_assert(!result.error);
    cr_assert_eq(result.status, 200);
    cr_assert_eq(result.body, "ok");
}

// Guards against bytes that are no answer, or of an unknown transfer coding, that pass for one.
Test(http_calls, what_is_no_answer_ends_the_call)
{
    for (const char *head : {"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 101 Odd\r\n", "HTTP/1.1 999 Odd\r\n",
                             "HTTP/1.1 150 Soon\r\nContent-Length: 2\r\n",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, identity\r\n",
                             "HTTP/1.1 200 OK\r\nX Odd: 1\r\n"}) {
        const HttpResult result = resultOf(std::string(head) + "\r\nok");
        cr_expect(result.error, "%s", head);
        cr_expect_eq(result.status, 0, "%s", head);
    }
}

// Guards against an order that arrives after its sender has given it up.
Test(http_calls, a_call_that_timed_out_is_taken_back)
{
    constexpr std::size_t bodyBytes = 300'000;
    Server server;
    HttpCall call;
    call.method = "POST";
    call.path = "/order";
    call.body.assign(bodyBytes, 'x');
    const HttpResult result = callBlocking(server.endpoint(), call, 200ms);
    cr_assert(result.error);
    tcp::socket connection = server.accept();
    std::string received(bodyBytes, '\0');
    boost::system::error_code error;
    const std::size_t bytes = asio::read(connection, asio::buffer(received), error);
    cr_assert_lt(bytes, bodyBytes);
}

// Guards against keeping a line, or a body, without end in memory until the call times out.
Test(http_calls, an_answer_without_end_ends_the_call)
{
    checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10;x=");
    checkEnds("HTTP/1.1 200 OK\r\n\r\n");
}
