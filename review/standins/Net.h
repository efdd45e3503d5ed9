#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/** A request or an answer, with its body in full. */
struct Message
{
    std::string firstLine;
    Headers headers;
    std::string body;
    bool complete = false; ///< false: the connection ended before the message did

    /** Value of a header, whatever its case; empty if there is none. */
    std::string header(const std::string &name) const;
    /** The n-th word of the first line. */
    std::string word(int index) const;
};

/** A blocking TCP connection that reads HTTP/1.1 messages. */
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool write(const std::string &bytes);
    /** The next message; nothing if the connection ends, or after `timeoutMs` without one. */
    std::optional<Message> read(int timeoutMs, bool answer);
    /** True if the peer has closed or reset the connection. */
    bool isClosed() const;
    /** Resets the connection. */
    void reset();

    std::string pendingExtra; ///< a stray answer, written ahead of the next one

private:
    bool fill(int timeoutMs);

    int descriptor;
    std::string buffer;
};

/** Connects; null if that fails. */
std::unique_ptr<Connection> connectTo(const std::string &address, int port);

/** A port that is free at every one of the addresses. */
int freePort(const std::vector<std::string> &addresses);

/** A server with one thread per connection. */
class Server
{
public:
    using Handler = std::function<bool(Connection &, const Message &)>; ///< false: close

    Server(const std::string &address, Handler handler);
    ~Server();

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    int port() const
    {
        return this->boundPort;
    }

private:
    void acceptLoop();
    void serve(int descriptor);

    Handler handler;
    int listener = -1;
    int boundPort = 0;
    std::atomic<bool> stopping{false};
    std::atomic<int> active{0};
    std::thread acceptor;
};

std::string answerText(int status, const std::string &reason, const Headers &headers,
                       const std::string &body);

/** Milliseconds of the steady clock. */
long long nowMs();
void sleepMs(long long ms);

} // namespace review
