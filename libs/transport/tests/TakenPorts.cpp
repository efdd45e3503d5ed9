#include "transport/TakenPort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <criterion/criterion.h>

using namespace monsoonbay;

// Guards against a daemon that ends as another process still has one of its ports.
Test(taken_ports, a_port_is_taken_as_long_as_somebody_listens_there)
{
    using tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::acceptor other(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const Endpoint anyPort{"127.0.0.1", 0};
    const Endpoint taken{"127.0.0.1", other.local_endpoint().port()};
    cr_assert(findTakenPort({anyPort, taken}) == taken);
    cr_assert(findTakenPort({anyPort}) == std::nullopt);
    other.close();
    cr_assert(findTakenPort({anyPort, taken}) == std::nullopt);
}
