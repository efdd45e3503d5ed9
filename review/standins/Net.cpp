#include "Net.h"

#include <algorithm>
#include <chrono>
#include <sstream>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const std::string &address, int port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int boundSocket(const std::string &address, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = socketAddress(address, port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

int portOf(int descriptor)
{
    sockaddr_in local{};
    socklen_t length = sizeof local;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &length);
    return ntohs(local.sin_port);
}

} // namespace

std::string Message::header(const std::string &name) const
{
    for (const auto &[key, value] : this->headers) {
        if (strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

std::string Message::word(int index) const
{
    std::istringstream words(this->firstLine);
    std::string found;
    for (int at = 0; at <= index; ++at) {
        if (!(words >> found))
            return {};
    }
    return found;
}

Connection::Connection(int descriptor)
    : descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    ::close(this->descriptor);
}

bool Connection::write(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
            ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Connection::fill(int timeoutMs)
{
    pollfd entry{this->descriptor, POLLIN, 0};
    if (::poll(&entry, 1, timeoutMs) <= 0)
        return false;
    char bytes[16384];
    const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (count <= 0)
        return false;
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Connection::read(int timeoutMs, bool answer)
{
    constexpr int restTimeoutMs = 5000; // for what follows the head
    long long limit = nowMs() + timeoutMs;
    const auto more = [&] {
        const long long left = limit - nowMs();
        return left > 0 && this->fill(static_cast<int>(left));
    };
    std::size_t headEnd = 0;
    while ((headEnd = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return std::nullopt;
    }
    limit = std::max(limit, nowMs() + restTimeoutMs);
    Message message;
    std::istringstream head(this->buffer.substr(0, headEnd));
    this->buffer.erase(0, headEnd + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.firstLine.empty()) {
            message.firstLine = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t from = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(line.substr(0, colon),
                                     from == std::string::npos ? "" : line.substr(from));
    }
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (!more())
                    return message;
            }
            const std::size_t size = std::stoul(this->buffer.substr(0, lineEnd), nullptr, 16);
            while (this->buffer.size() < lineEnd + 2 + size + 2) {
                if (!more())
                    return message;
            }
            message.body += this->buffer.substr(lineEnd + 2, size);
            this->buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                break;
        }
        message.complete = true;
        return message;
    }
    const std::string length = message.header("Content-Length");
    if (length.empty() && answer) {
        while (more()) { }
        message.body = std::move(this->buffer);
        message.complete = this->isClosed();
        return message;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (this->buffer.size() < size) {
        if (!more())
            return message;
    }
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    message.complete = true;
    return message;
}

bool Connection::isClosed() const
{
    char byte = 0;
    const ssize_t peeked = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::reset()
{
    const linger abort{1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
}

std::unique_ptr<Connection> connectTo(const std::string &address, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = socketAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) == 0)
        return std::make_unique<Connection>(descriptor);
    ::close(descriptor);
    return nullptr;
}

int freePort(const std::vector<std::string> &addresses)
{
    for (int tries = 0; tries < 1000; ++tries) {
        const int first = boundSocket(addresses.front(), 0);
        const int port = portOf(first);
        ::close(first);
        const bool free = std::all_of(addresses.begin(), addresses.end(), [port](const auto &at) {
            const int probe = boundSocket(at, port);
            if (probe >= 0)
                ::close(probe);
            return probe >= 0;
        });
        if (free)
            return port;
    }
    return 0;
}

Server::Server(const std::string &address, Handler handler)
    : handler(std::move(handler))
    , listener(boundSocket(address, 0))
{
    ::listen(this->listener, 512);
    this->boundPort = portOf(this->listener);
    this->acceptor = std::thread([this] { this->acceptLoop(); });
}

Server::~Server()
{
    this->stopping = true;
    this->acceptor.join();
    while (this->active > 0)
        sleepMs(10);
    ::close(this->listener);
}

void Server::acceptLoop()
{
    while (!this->stopping) {
        pollfd entry{this->listener, POLLIN, 0};
        if (::poll(&entry, 1, 50) <= 0)
            continue;
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        ++this->active;
        std::thread([this, descriptor] { this->serve(descriptor); }).detach();
    }
}

void Server::serve(int descriptor)
{
    {
        Connection connection(descriptor);
        while (!this->stopping) {
            const std::optional<Message> request = connection.read(100, false);
            if (!request && connection.isClosed())
                break;
            if (!request)
                continue;
            if (!request->complete || !this->handler(connection, *request))
                break;
        }
    }
    --this->active;
}

std::string answerText(int status, const std::string &reason, const Headers &headers,
                       const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

long long nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void sleepMs(long long ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace review
