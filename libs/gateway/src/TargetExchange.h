#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include "GatewayNode.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** How a read from a target ended. */
enum class BodyRead : std::uint8_t {
    Some, ///< there is more
    End, ///< the answer is complete
    Broken, ///< it ended before it was complete
};

/** One call to a target on one connection. */
class TargetExchange
{
public:
    TargetExchange(GatewayNode &node, const TargetEntry &target, std::string attemptId);

    /** Gives the connection back if it can serve another call, else closes it. */
    ~TargetExchange();

    TargetExchange(const TargetExchange &) = delete;
    TargetExchange &operator=(const TargetExchange &) = delete;

    /** Takes an idle connection or makes one; false: the target cannot be reached. */
    asio::awaitable<bool> connect();

    /** Why the last attempt to connect, send or read failed; no error: none has. */
    const boost::system::error_code &error() const noexcept;

    /** Sends the request and reads the head of its answer; false: lost, it may have run. */
    asio::awaitable<bool> send(std::shared_ptr<HttpRequest> request);

    /** Reads what has arrived of the body. */
    asio::awaitable<BodyRead> read(std::string &piece);

    int status() const;
    const ResponseHead &head() const;
    const AnswerFacts &facts() const noexcept;
    TargetConnectionPtr connection() const noexcept;

    /** The answer is not read to its end; the connection will not be reused. */
    void abandon() noexcept;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    asio::awaitable<bool> readHead();

    GatewayNode &node;
    std::string targetId;
    Endpoint endpoint;
    std::string attemptId;
    TargetConnectionPtr link;
    std::shared_ptr<bool> written = std::make_shared<bool>(false);
    std::optional<Parser> parser;
    AnswerFacts answerFacts;
    std::array<char, 8192> space{};
    bool whole = false;
    bool unusable = false;
    boost::system::error_code lastError;
};

} // namespace monsoonbay
