#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/serializer.hpp>

#include "BodyDelimiter.h"
#include "GatewayNode.h"
#include "LinkWatch.h"
#include "TargetRequest.h"
#include "transport/AnswerParser.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** Result of one read of a target's answer. */
enum class BodyRead : std::uint8_t {
    Some, ///< there is more
    End, ///< the answer has ended; bodyDelimiter() tells whether it is known to be complete
    Broken, ///< it broke off
};

/** How another VM replied to a call that was offered to it. */
enum class OfferResult : std::uint8_t {
    Accepted, ///< it accepts the call and waits for the rest of the request
    Declined, ///< it refuses the call; head() has the reason
    NoReply, ///< it did not answer in time, or the connection broke; it never runs the call
};

/** How far the writing of a request has come, beside which its answer is read. */
struct RequestWrite
{
    bool ended = false;
    boost::system::error_code error; ///< why it failed; none if it hasn't ended

    bool isWhole() const noexcept
    {
        return this->ended && !this->error;
    }
};

/** One attempt at a target, or at another VM, on one connection. */
class TargetExchange
{
public:
    TargetExchange(GatewayNode &node, const TargetEntry &target, std::string attemptId);
    /** To another VM, at its address for forwarded calls. */
    TargetExchange(GatewayNode &node, const Endpoint &peer, std::string attemptId);

    /** Returns the connection to the pool if it can serve another call, else closes it. */
    ~TargetExchange();

    TargetExchange(const TargetExchange &) = delete;
    TargetExchange &operator=(const TargetExchange &) = delete;

    /** Takes an idle connection or makes one; false if the target cannot be reached. */
    asio::awaitable<bool> connect();

    /** True once the target itself has begun to answer, rather than something on the way. */
    bool isAnswered() const noexcept;

    /** Why the last connect, send or read that failed did so; no error if none has. */
    const boost::system::error_code &error() const noexcept;

    /** Sends the request and reads the head of its answer; false if lost: it may have run. */
    asio::awaitable<bool> send(std::shared_ptr<TargetRequest> request);

    /**
     * Sends only the head of the request and waits for "100 Continue". Until sendOfferedBody() is
     * called the receiver lacks the end of the request, and cannot run it.
     */
    asio::awaitable<OfferResult> offer(std::shared_ptr<TargetRequest> request,
                                       Duration replyTimeout);

    /** Sends the rest of a request that was accepted; then as send(). */
    asio::awaitable<bool> sendOfferedBody();

    /** Reads what has arrived of the body. */
    asio::awaitable<BodyRead> read(std::string &piece);

    /**
     * Reads and drops the rest of the answer, for the connection's next call; false if it is long
     * or slow: then the connection is not reused.
     */
    asio::awaitable<bool> discardBody();

    /** What delimits the answer whose head has been read. */
    BodyDelimiter bodyDelimiter() const;

    /** Software version of the target that answers. */
    std::string software() const;

    int status() const;
    const ResponseHead &head() const;
    const AnswerMetadata &metadata() const noexcept;
    TargetConnectionPtr connection() const noexcept;

    /** The answer will not be read to its end; the connection is not reused. */
    void abandon() noexcept;

private:
    using Serializer = boost::beast::http::request_serializer<TargetRequest::body_type>;

    asio::awaitable<bool> readHead();
    asio::awaitable<bool> readFinalHead();
    bool isInterim() const;
    /** Why the end of the connection is no end of the answer that it delimits; none if it is. */
    asio::awaitable<boost::system::error_code> lossBehindEnd();
    bool fail(const boost::system::error_code &error);
    /** True for a refusal that may answer an earlier call on the connection. */
    bool isUnclearRefusal() const;
    void beginAwaiting();
    void recordHeard();
    asio::awaitable<bool> readMatchingHead();
    TargetPool &pool();

    GatewayNode &node;
    TargetName target; ///< its id is empty: another VM
    bool awaiting = false; ///< an answer of the target
    std::string targetSoftware;
    Endpoint endpoint;
    std::string attemptId;
    TargetConnectionPtr link;
    bool newLink = false; ///< it was made for this exchange, and nothing has arrived on it
    std::shared_ptr<RequestWrite> written = std::make_shared<RequestWrite>();
    std::shared_ptr<TargetRequest> offered;
    std::optional<Serializer> rest; ///< of the offered request
    std::optional<AnswerParser> parser;
    AnswerMetadata answerMetadata;
    std::array<char, 8192> readBuffer{};
    bool awaitsContinue = false; ///< a request was offered: "100 Continue" is its reply
    bool complete = false;
    bool unusable = false;
    boost::system::error_code lastError;
};

} // namespace monsoonbay
