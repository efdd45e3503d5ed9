#pragma once

#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "config/Settings.h"
#include "core/Time.h"
#include "transport/HttpServer.h"

namespace monsoonbay {

/** An HTTP request to send. */
struct HttpCall
{
    std::string method = "GET";
    std::string path;
    std::string body;
    std::vector<HttpHeader> headers;
    std::uint64_t maxResponseBytes = 256ULL * 1024 * 1024; ///< a longer body ends the call
    std::string wantedHeader; ///< name of a response header to return; empty: none
};

/** Timeouts of a call whose response may be long. */
struct HttpTimeouts
{
    Duration header{}; ///< until the header of the response has been read
    Duration idle{}; ///< after that, between two pieces of the body

    auto operator<=>(const HttpTimeouts &) const = default;
};

/** Outcome of a call: an error, or the response. */
struct HttpResult
{
    std::error_code error;
    bool sent = false; ///< part of the request may have reached the server
    int status = 0;
    std::string contentType;
    std::optional<std::string> wantedHeader; ///< its value; empty: the response lacks it
    std::string body;

    bool ok() const noexcept
    {
        return !this->error && this->status >= 200 && this->status < 300;
    }
};

/** HTTP client with a pool of keep-alive connections for each endpoint. Thread-safe. */
class HttpClient
{
public:
    explicit HttpClient(asio::io_context &context);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** Sends a request and reads the whole response, within `timeout`. Call on a strand. */
    asio::awaitable<HttpResult> call(Endpoint endpoint, HttpCall call, Duration timeout);

    /** The same, but may take as long as each part arrives within its timeout. */
    asio::awaitable<HttpResult> call(Endpoint endpoint, HttpCall call, HttpTimeouts timeouts);

    struct Impl;

private:
    friend class HttpClientStream;
    std::shared_ptr<Impl> impl;
};

/** Runs one call on an io_context of its own and blocks until it ends. Not for the daemon. */
HttpResult callBlocking(const Endpoint &endpoint, const HttpCall &call, Duration timeout);

/** A call whose response is read piece by piece. Used by one coroutine, on one strand. */
class HttpClientStream
{
public:
    HttpClientStream(HttpClient &client, Endpoint endpoint);
    ~HttpClientStream();

    HttpClientStream(const HttpClientStream &) = delete;
    HttpClientStream &operator=(const HttpClientStream &) = delete;

    /** Sends the request and reads the response header. The call is cancelled after `timeout`. */
    asio::awaitable<HttpResult> begin(HttpCall call, Duration timeout);

    /** Replaces the timeout: the call is cancelled `timeout` from now. */
    void resetTimeout(Duration timeout);

    /** Reads the next part of the body into `piece`; an empty piece without error is the end. */
    asio::awaitable<std::error_code> read(std::string &piece);

    /** Cancels pending operations; the connection is not reused. Call on the same strand. */
    void cancel();

private:
    struct Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace monsoonbay
