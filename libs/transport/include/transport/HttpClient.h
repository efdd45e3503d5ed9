#pragma once

#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "config/Settings.h"
#include "core/Time.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** One call to a target or to the platform. */
struct HttpCall
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::vector<HttpHeader> headers;
};

/** How long a call whose answer may be long is waited for. */
struct HttpPatience
{
    Duration header{}; ///< until the head of the answer
    Duration idle{}; ///< after that, between two of its pieces

    auto operator<=>(const HttpPatience &) const = default;
};

/** How a call ended. */
struct HttpResult
{
    std::error_code error;
    bool sent = false; ///< a byte may have reached the other side
    int status = 0;
    std::string contentType;
    std::string body;

    bool ok() const noexcept
    {
        return !this->error && this->status >= 200 && this->status < 300;
    }
};

/** Connections to targets and the platform, kept alive and reused. Thread-safe. */
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** A whole call; call from a coroutine on a strand. */
    asio::awaitable<HttpResult> call(Endpoint endpoint, HttpCall call, Duration timeout);

    /** A whole call that may go on for as long as bytes of its answer come. */
    asio::awaitable<HttpResult> call(Endpoint endpoint, HttpCall call, HttpPatience timeouts);

    struct Impl;

private:
    friend class HttpClientStream;
    std::shared_ptr<Impl> impl;
};

/** One whole call on a context of its own; blocks until it ends. For tools, not for the daemon. */
HttpResult callBlocking(const Endpoint &endpoint, const HttpCall &call, Duration timeout);

/** A call whose answer is read piece by piece. One coroutine uses it, on one strand. */
class HttpClientStream
{
public:
    HttpClientStream(HttpClient &client, Endpoint endpoint);
    ~HttpClientStream();

    HttpClientStream(const HttpClientStream &) = delete;
    HttpClientStream &operator=(const HttpClientStream &) = delete;

    /** Sends the call and reads the head of the answer. After `timeout` everything is cancelled. */
    asio::awaitable<HttpResult> begin(HttpCall call, Duration timeout);

    /** From now on everything is cancelled after `timeout`, whatever was said before. */
    void resetTimeout(Duration timeout);

    /** Reads some of the body into `piece`; an empty piece without error is the end. */
    asio::awaitable<std::error_code> read(std::string &piece);

    /** Ends any pending operation; the connection is not reused. Call on the same strand. */
    void cancel();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace monsoonbay
