#include "transport/TakenPort.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace monsoonbay {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Without SO_REUSEPORT, with which gRPC would share the port with a process that is still ending.
bool isTaken(asio::io_context &context, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const asio::ip::address address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return false;
    const tcp::endpoint listenAddress(address, endpoint.port);
    tcp::acceptor acceptor(context);
    acceptor.open(listenAddress.protocol(), error);
    if (error)
        return false;
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(listenAddress, error);
    return error == asio::error::address_in_use;
}

} // namespace

std::optional<Endpoint> findTakenPort(const std::vector<Endpoint> &endpoints)
{
    asio::io_context context;
    const auto taken =
        std::find_if(endpoints.begin(), endpoints.end(),
                     [&context](const Endpoint &endpoint) { return isTaken(context, endpoint); });
    return taken == endpoints.end() ? std::nullopt : std::optional(*taken);
}

} // namespace monsoonbay
