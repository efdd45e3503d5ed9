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

} // namespace

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
