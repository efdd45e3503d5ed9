#include "TargetExchange.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "ForwardedCall.h"
#include "LostCalls.h"

namespace monsoonbay {

namespace http = boost::beast::http;

namespace {

constexpr auto nothrowAwaitable = asio::as_tuple(asio::use_awaitable);

/** Links within a deployment take a few ms; a target that does not accept by then is skipped. */
constexpr Duration connectTimeout = std::chrono::milliseconds(250);

/** Larger requests are still written while their answer is already read. */
constexpr std::size_t longRequestBytes = 4096;

/** Interim answers (1xx) that may precede an answer. */
constexpr int maxInterimHeads = 8;

/** Answers to other calls that may precede the expected one. */
constexpr int maxForeignAnswers = 3;

constexpr std::uint32_t headerLimit = 64 * 1024;

/** Of an answer that nobody waits for, only a short one that comes at once is read to its end. */
constexpr std::size_t maxDiscardedBytes = 64 * 1024;
constexpr Duration discardTimeout = std::chrono::milliseconds(150);

// A target may answer a long request before it has read all of it, and read the rest later. The
// write must then neither delay the answer nor be cut short while the connection is still in use.
asio::awaitable<void> writeRequest(TargetConnectionPtr link, std::shared_ptr<TargetRequest> request,
                                   std::shared_ptr<RequestWrite> written)
{
    auto [error, bytes] = co_await http::async_write(link->socket, *request, nothrowAwaitable);
    written->error = error;
    written->ended = true;
}

} // namespace

TargetExchange::TargetExchange(GatewayNode &node, const TargetEntry &target, std::string attemptId)
    : node(node)
    , target{target.id, target.service}
    , targetSoftware(target.software)
    , endpoint(target.endpoint)
    , attemptId(std::move(attemptId))
{ }

TargetExchange::TargetExchange(GatewayNode &node, const Endpoint &peer, std::string attemptId)
    : node(node)
    , endpoint(peer)
    , attemptId(std::move(attemptId))
{ }

TargetExchange::~TargetExchange()
{
    if (this->awaiting)
        recordAwaitingEnd(this->node, this->target);
    if (!this->link)
        return;
    const bool reusable = this->complete && !this->unusable && this->written->isWhole()
        && !this->attemptId.empty() && this->parser->keep_alive() && this->link->buffer.size() == 0
        && this->link->socket.is_open();
    if (!reusable) {
        closeConnection(*this->link);
        return;
    }
    const Duration keepAlive = announcedKeepAlive(this->parser->get());
    giveBack(this->pool(), this->link, keepAlive, BootClock::now());
}

TargetPool &TargetExchange::pool()
{
    return this->target.id.empty() ? this->node.forwardPeers[this->endpoint].pool
                                   : runtimeOf(this->node, this->target.id).pool;
}

TargetConnectionPtr TargetExchange::connection() const noexcept
{
    return this->link;
}

void TargetExchange::abandon() noexcept
{
    this->unusable = true;
}

bool TargetExchange::isAnswered() const noexcept
{
    return this->answerMetadata.fromTarget;
}

const boost::system::error_code &TargetExchange::error() const noexcept
{
    return this->lastError;
}

// Another VM always sends a length or chunks, and reports what delimited the target's answer.
BodyDelimiter TargetExchange::bodyDelimiter() const
{
    if (this->parser->need_eof())
        return BodyDelimiter::CloseDelimited;
    return this->target.id.empty() ? readForwardReport(this->head()).delimiter
                                   : BodyDelimiter::SelfDelimited;
}

std::string TargetExchange::software() const
{
    return this->target.id.empty() ? readForwardReport(this->head()).software
                                   : this->targetSoftware;
}

int TargetExchange::status() const
{
    return static_cast<int>(this->parser->get().result_int());
}

const ResponseHead &TargetExchange::head() const
{
    return this->parser->get();
}

const AnswerMetadata &TargetExchange::metadata() const noexcept
{
    return this->answerMetadata;
}

asio::awaitable<bool> TargetExchange::connect()
{
    // Without an id, no answer could be told from a late one to an earlier call.
    if (!this->attemptId.empty())
        this->link = acquireIdle(this->pool(), this->attemptId, BootClock::now());
    if (!this->link) {
        ConnectResult result =
            co_await connectTo(this->node.context, this->endpoint, connectTimeout);
        this->link = std::move(result.connection);
        this->lastError = result.error;
        this->newLink = this->link != nullptr;
    }
    if (this->link)
        recordCarried(*this->link, this->attemptId);
    co_return this->link != nullptr;
}

void TargetExchange::beginAwaiting()
{
    recordAwaiting(this->node, this->target);
    this->awaiting = true;
}

void TargetExchange::recordHeard()
{
    if (!this->awaiting || !this->isAnswered())
        return;
    monsoonbay::recordHeard(this->node, this->target);
    if (this->target.id.empty())
        return;
    if (std::exchange(this->newLink, false))
        recordLinkSuccess(this->node, this->target.id);
    recordSignOfLife(this->node, this->target.id);
}

asio::awaitable<bool> TargetExchange::send(std::shared_ptr<TargetRequest> request)
{
    this->beginAwaiting();
    if (request->body().size() > longRequestBytes)
        spawn(this->node, "write request", writeRequest(this->link, request, this->written));
    else
        co_await writeRequest(this->link, request, this->written);
    co_return co_await this->readMatchingHead();
}

asio::awaitable<OfferResult> TargetExchange::offer(std::shared_ptr<TargetRequest> request,
                                                   Duration replyTimeout)
{
    this->offered = std::move(request);
    this->rest.emplace(*this->offered);
    asio::steady_timer limit(this->node.context, replyTimeout);
    closeOnExpiry(limit, this->link);
    auto [error, bytes] =
        co_await http::async_write_header(this->link->socket, *this->rest, nothrowAwaitable);
    bool headReceived = false;
    this->awaitsContinue = true;
    if (!error)
        headReceived = co_await this->readFinalHead();
    this->awaitsContinue = false;
    limit.cancel();
    if (!headReceived || !this->link->socket.is_open()) {
        this->unusable = true;
        co_return OfferResult::NoReply;
    }
    if (this->parser->get().result() == http::status::continue_)
        co_return OfferResult::Accepted;
    this->unusable = true;
    co_return OfferResult::Declined;
}

asio::awaitable<bool> TargetExchange::sendOfferedBody()
{
    auto [error, bytes] =
        co_await http::async_write(this->link->socket, *this->rest, nothrowAwaitable);
    this->written->error = error;
    this->written->ended = true;
    co_return co_await this->readMatchingHead();
}

asio::awaitable<bool> TargetExchange::readMatchingHead()
{
    for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        const bool read = co_await this->readFinalHead();
        if (!read)
            co_return false;
        const bool isOwn = this->answerMetadata.attemptId.empty()
            || this->answerMetadata.attemptId == this->attemptId;
        if (isOwn && this->isUnclearRefusal())
            break;
        if (isOwn)
            co_return true;
        // A second answer to an earlier call on this connection: no call waits for it.
        const bool discarded = co_await this->discardBody();
        if (!discarded)
            co_return false;
    }
    this->unusable = true;
    co_return false;
}

// A refusal that names no call may be a late second answer to an earlier one on this connection, as
// targets echo the ids of calls. Were it taken as own, a call that runs would be sent again, or its
// caller told that it has not run.
bool TargetExchange::isUnclearRefusal() const
{
    return this->answerMetadata.notRun && this->answerMetadata.attemptId.empty()
        && this->link->carried.size() > 1;
}

bool TargetExchange::isInterim() const
{
    return isInterimHead(this->head()) && !(this->awaitsContinue && this->status() == 100);
}

asio::awaitable<bool> TargetExchange::readFinalHead()
{
    for (int interim = 0; interim <= maxInterimHeads; ++interim) {
        const bool read = co_await this->readHead();
        if (!read)
            co_return false;
        if (!this->isInterim())
            co_return true;
    }
    this->unusable = true;
    co_return false;
}

asio::awaitable<bool> TargetExchange::readHead()
{
    this->complete = false;
    this->parser.emplace();
    this->parser->header_limit(headerLimit);
    this->parser->body_limit(boost::none);
    auto [error, bytes] = co_await http::async_read_header(this->link->socket, this->link->buffer,
                                                           *this->parser, nothrowAwaitable);
    if (error)
        co_return this->fail(error);
    const boost::system::error_code noAnswer = checkAnswerHead(this->head());
    if (noAnswer)
        co_return this->fail(noAnswer);
    this->answerMetadata =
        this->node.platform->readAnswerMetadata(this->status(), this->parser->get());
    this->recordHeard();
    co_return true;
}

asio::awaitable<bool> TargetExchange::discardBody()
{
    asio::steady_timer limit(this->node.context, discardTimeout);
    closeOnExpiry(limit, this->link);
    std::string piece;
    std::size_t discarded = 0;
    BodyRead end = BodyRead::Some;
    while (end == BodyRead::Some && discarded <= maxDiscardedBytes) {
        end = co_await this->read(piece);
        discarded += piece.size();
    }
    limit.cancel();
    if (end != BodyRead::End)
        this->unusable = true;
    co_return end == BodyRead::End;
}

bool TargetExchange::fail(const boost::system::error_code &error)
{
    this->unusable = true;
    this->lastError = error;
    return false;
}

// The system gives the error of a reset connection to one operation only: if that is the write of
// the request, the read gets an ordinary end of the stream, which ends an answer without a length.
// The write's error shows which came first: it is "broken pipe" if the target had closed its side
// before, so that the answer had arrived whole. A write that was awaiting the same event completes
// before the read, or right after it.
asio::awaitable<boost::system::error_code> TargetExchange::lossBehindEnd()
{
    if (!this->parser->need_eof())
        co_return boost::system::error_code();
    if (!this->written->ended)
        co_await asio::post(this->node.context, asio::use_awaitable);
    const boost::system::error_code error = this->written->error;
    const bool closedBefore = error == asio::error::broken_pipe;
    co_return closedBefore ? boost::system::error_code() : error;
}

asio::awaitable<BodyRead> TargetExchange::read(std::string &piece)
{
    piece.clear();
    while (!this->parser->is_done()) {
        auto &body = this->parser->get().body();
        body.data = this->readBuffer.data();
        body.size = this->readBuffer.size();
        auto [error, bytes] = co_await http::async_read_some(this->link->socket, this->link->buffer,
                                                             *this->parser, nothrowAwaitable);
        const std::size_t filled = this->readBuffer.size() - body.size;
        piece.append(this->readBuffer.data(), filled);
        if (error && error != http::error::need_buffer) {
            this->fail(error);
            co_return BodyRead::Broken;
        }
        if (!piece.empty())
            this->recordHeard();
        if (!piece.empty() && !this->parser->is_done())
            co_return BodyRead::Some;
    }
    const boost::system::error_code loss = co_await this->lossBehindEnd();
    if (loss) {
        this->fail(loss);
        co_return BodyRead::Broken;
    }
    this->complete = true;
    co_return BodyRead::End;
}

} // namespace monsoonbay
