// Stand-ins for the cases of the second review: the platform's store, plain runners and engines,
// and daemons as processes of their own. Everything is on loopback; each connection has a thread.
#pragma once

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point startedAt = Clock::now();

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** record.txt: one line for each thing that was sent, answered or run. */
class Record
{
public:
    void open(const std::string &path)
    {
        this->file = std::fopen(path.c_str(), "w");
    }

    void line(const char *format, ...)
    {
        char text[4096];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard guard(this->mutex);
        if (this->file == nullptr)
            return;
        std::fprintf(this->file, "%8.3f %s\n", now(), text);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE *file = nullptr;
};

inline Record record;

// Sockets

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listenOn(const std::string &ip, int port, int &bound)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    socklen_t length = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &length);
    bound = ntohs(address.sin_port);
    return fd;
}

inline int connectTo(const std::string &ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline void resetClose(int fd)
{
    const linger immediate{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    close(fd);
}

/** True if the other side has closed or reset the connection. */
inline bool isClosed(int fd)
{
    char byte = 0;
    const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/** A message of HTTP/1.1 as it was read. */
struct Message
{
    bool ok = false;
    bool whole = false; ///< its body ended as its head says
    std::string first; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string get(const std::string &name) const
    {
        for (const auto &[key, value] : this->fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }

    bool has(const std::string &name) const
    {
        return std::any_of(this->fields.begin(), this->fields.end(), [&](const auto &field) {
            return strcasecmp(field.first.c_str(), name.c_str()) == 0;
        });
    }

    int status() const
    {
        return this->first.size() < 12 ? 0 : std::atoi(this->first.c_str() + 9);
    }

    std::string method() const
    {
        return this->first.substr(0, this->first.find(' '));
    }

    std::string target() const
    {
        const std::size_t begin = this->first.find(' ') + 1;
        return this->first.substr(begin, this->first.find(' ', begin) - begin);
    }
};

/** A connection with what was received and not used yet. */
struct Wire
{
    int fd = -1;
    std::string buffer;

    bool more(int timeoutMs = 60000)
    {
        pollfd wait{this->fd, POLLIN, 0};
        if (poll(&wait, 1, timeoutMs) <= 0)
            return false;
        char piece[16384];
        const ssize_t n = recv(this->fd, piece, sizeof piece, 0);
        if (n <= 0)
            return false;
        this->buffer.append(piece, static_cast<std::size_t>(n));
        return true;
    }

    bool takeLine(std::string &line, int timeoutMs)
    {
        std::size_t end;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
            if (!this->more(timeoutMs))
                return false;
        }
        line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return true;
    }

    bool take(std::string &out, std::size_t bytes, int timeoutMs)
    {
        while (this->buffer.size() < bytes) {
            if (!this->more(timeoutMs))
                return false;
        }
        out.append(this->buffer, 0, bytes);
        this->buffer.erase(0, bytes);
        return true;
    }

    Message readHead(int timeoutMs = 60000)
    {
        Message message;
        if (!this->takeLine(message.first, timeoutMs))
            return message;
        std::string line;
        while (this->takeLine(line, timeoutMs)) {
            if (line.empty()) {
                message.ok = true;
                return message;
            }
            const std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                return message;
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            message.fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
        return message;
    }

    void readBody(Message &message, bool isAnswer, int timeoutMs = 60000)
    {
        if (strcasecmp(message.get("Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string line;
            while (this->takeLine(line, timeoutMs)) {
                const std::size_t bytes = std::strtoul(line.c_str(), nullptr, 16);
                if (bytes == 0) {
                    while (this->takeLine(line, timeoutMs) && !line.empty()) { }
                    message.whole = line.empty();
                    return;
                }
                if (!this->take(message.body, bytes, timeoutMs) || !this->takeLine(line, timeoutMs))
                    return;
            }
            return;
        }
        if (message.has("Content-Length")) {
            message.whole = this->take(message.body,
                                       std::strtoul(message.get("Content-Length").c_str(), nullptr, 10),
                                       timeoutMs);
            return;
        }
        if (!isAnswer) {
            message.whole = true;
            return;
        }
        while (this->more(timeoutMs)) { }
        message.body += std::exchange(this->buffer, {});
        message.whole = true;
    }

    Message read(bool isAnswer, int timeoutMs = 60000)
    {
        Message message = this->readHead(timeoutMs);
        if (message.ok)
            this->readBody(message, isAnswer, timeoutMs);
        return message;
    }
};

/** Accepts connections and runs `serve` for each of them on a thread. */
class Server
{
public:
    explicit Server(const std::string &ip = "127.0.0.1", int port = 0)
        : ip(ip)
    {
        this->listener = listenOn(ip, port, this->port);
    }

    void run(std::function<void(Wire &)> serve)
    {
        std::thread([this, serve = std::move(serve)] {
            while (true) {
                const int fd = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([fd, serve] {
                    Wire wire{fd, {}};
                    serve(wire);
                    if (wire.fd >= 0)
                        close(wire.fd);
                }).detach();
            }
        }).detach();
    }

    std::string text() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }

    std::string ip;
    int port = 0;
    int listener = -1;
};

inline std::string answer(const std::string &status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

inline std::string jsonAnswer(const std::string &status, const Json &body)
{
    return answer(status, "Content-Type: application/json\r\n", body.dump());
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const std::size_t equals = part.find('=');
        query[part.substr(0, equals)] = equals == std::string::npos ? "" : part.substr(equals + 1);
        at = end;
    }
    return query;
}

inline std::string base64(const std::string &text)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned value = 0;
        for (std::size_t index = 0; index < 3; ++index)
            value = value << 8
                | (at + index < text.size() ? static_cast<unsigned char>(text[at + index]) : 0);
        for (int index = 3; index >= 0; --index)
            out += at + static_cast<std::size_t>(3 - index) <= text.size()
                ? letters[value >> (6 * index) & 63]
                : '=';
    }
    return out;
}

/** The platform's store: a log with topics of one partition, and consumer groups. */
class Store
{
public:
    Store()
    {
        this->server.run([this](Wire &wire) { this->serve(wire); });
    }

    void put(const std::string &topic, const std::string &key, std::optional<std::string> value)
    {
        const std::lock_guard guard(this->mutex);
        this->topics[topic].push_back({key, std::move(value)});
        this->changed.notify_all();
    }

    Server server;
    std::atomic<bool> silent{false};

private:
    struct Entry
    {
        std::string key;
        std::optional<std::string> value;
    };

    /** A partition stays with its member until that one acknowledges, leaves or lapses. */
    struct Group
    {
        int generation = 0;
        std::map<std::string, std::pair<Clock::time_point, int>> members; ///< last join, its ttl
        std::map<int, std::string> held; ///< partition: member that may still use it
    };

    void serve(Wire &wire)
    {
        while (true) {
            const Message request = wire.read(false);
            if (!request.ok || !request.whole)
                return;
            while (this->silent)
                sleepMs(10);
            const std::string path = request.target().substr(0, request.target().find('?'));
            auto query = queryOf(request.target());
            std::string reply;
            if (path == "/log-read")
                reply = this->read(query);
            else if (path == "/log-newest")
                reply = this->newest(query["Topic"]);
            else if (path == "/log-append")
                reply = this->append(query, request.body);
            else if (path == "/log-join")
                reply = this->join(Json::parse(request.body));
            else if (path == "/log-leave")
                reply = this->leave(Json::parse(request.body));
            else
                reply = jsonAnswer("404 Not Found", Json::object());
            sleepMs(2);
            if (!sendAll(wire.fd, reply))
                return;
        }
    }

    static std::string bigEndian(std::uint64_t value, int bytes)
    {
        std::string out;
        for (int index = bytes - 1; index >= 0; --index)
            out += static_cast<char>(value >> (8 * index) & 255);
        return out;
    }

    std::string read(std::map<std::string, std::string> &query)
    {
        const std::size_t from = std::strtoul(query["StartFrom"].c_str(), nullptr, 10);
        const auto until =
            Clock::now() + std::chrono::milliseconds(std::atoi(query["WaitMs"].c_str()));
        std::unique_lock lock(this->mutex);
        auto &log = this->topics[query["Topic"]];
        while (log.size() <= from && this->changed.wait_until(lock, until) == std::cv_status::no_timeout) { }
        std::string body = bigEndian(log.size(), 8) + bigEndian(0, 8);
        for (std::size_t at = from; at < log.size(); ++at) {
            const std::string content = std::string(1, static_cast<char>(log[at].key.size()))
                + log[at].key + log[at].value.value_or("");
            body += bigEndian(content.size(), 4) + content;
        }
        return answer("200 OK", "Content-Type: application/octet-stream\r\n", body);
    }

    std::string newest(const std::string &topic)
    {
        const std::lock_guard guard(this->mutex);
        std::map<std::string, std::pair<std::size_t, std::optional<std::string>>> last;
        const auto &log = this->topics[topic];
        for (std::size_t at = 0; at < log.size(); ++at)
            last[log[at].key] = {at, log[at].value};
        Json items = Json::array();
        for (const auto &[key, entry] : last) {
            if (entry.second)
                items.push_back({{"Key", key}, {"Value", base64(*entry.second)}, {"Offset", entry.first}});
        }
        return jsonAnswer("200 OK", {{"items", items}, {"HasMore", false}, {"End", log.size()}});
    }

    std::string append(std::map<std::string, std::string> &query, const std::string &body)
    {
        const std::lock_guard guard(this->mutex);
        auto &log = this->topics[query["Topic"]];
        if (query.count("At") > 0 && std::strtoul(query["At"].c_str(), nullptr, 10) != log.size())
            return jsonAnswer("412 Precondition Failed", {{"End", log.size()}});
        const std::size_t offset = log.size();
        std::size_t at = 0;
        while (at + 4 <= body.size()) {
            std::size_t length = 0;
            for (int index = 0; index < 4; ++index)
                length = length << 8 | static_cast<unsigned char>(body[at++]);
            const std::size_t keyLength = static_cast<unsigned char>(body[at]);
            Entry entry{body.substr(at + 1, keyLength), std::nullopt};
            if (length > 1 + keyLength)
                entry.value = body.substr(at + 1 + keyLength, length - 1 - keyLength);
            log.push_back(std::move(entry));
            at += length;
        }
        this->changed.notify_all();
        return jsonAnswer("200 OK", {{"Offset", offset}, {"End", log.size()}});
    }

    static constexpr int partitions = 12;

    void drop(Group &group, const std::string &member)
    {
        group.members.erase(member);
        std::erase_if(group.held, [&](const auto &part) { return part.second == member; });
        ++group.generation;
    }

    void expire(Group &group)
    {
        std::vector<std::string> lapsed;
        for (const auto &[name, joined] : group.members) {
            if (Clock::now() - joined.first > std::chrono::milliseconds(joined.second))
                lapsed.push_back(name);
        }
        for (const std::string &name : lapsed)
            this->drop(group, name);
    }

    static std::string wantedFor(const Group &group, int part)
    {
        auto member = group.members.begin();
        std::advance(member, part % static_cast<int>(group.members.size()));
        return member->first;
    }

    std::string join(const Json &body)
    {
        const std::lock_guard guard(this->mutex);
        Group &group = this->groups[body["group"]];
        this->expire(group);
        const std::string member = body["Member"];
        if (group.members.count(member) == 0)
            ++group.generation;
        group.members[member] = {Clock::now(), body["TtlMs"]};
        const bool acknowledges = body["Generation"].get<int>() >= group.generation;
        Json parts = Json::array();
        for (int part = 0; part < partitions; ++part) {
            const auto held = group.held.find(part);
            const bool isWanted = wantedFor(group, part) == member;
            if (held != group.held.end() && held->second == member && !isWanted && acknowledges)
                group.held.erase(held);
            else if (isWanted && held == group.held.end())
                group.held[part] = member;
            const auto now = group.held.find(part);
            if (isWanted && now != group.held.end() && now->second == member)
                parts.push_back(Json::array({body["Topics"][0], part, 0}));
        }
        return jsonAnswer("200 OK", {{"Generation", group.generation}, {"TtlMs", body["TtlMs"]}, {"parts", parts}});
    }

    std::string leave(const Json &body)
    {
        const std::lock_guard guard(this->mutex);
        Group &group = this->groups[body["group"]];
        if (group.members.count(body["Member"]) > 0)
            this->drop(group, body["Member"]);
        return jsonAnswer("200 OK", Json::object());
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::vector<Entry>> topics;
    std::map<std::string, Group> groups;
};

/** One run of a request at a runner. */
struct Run
{
    double at = 0;
    std::string id;
    std::string line;
    std::string body;
    std::string runner;
    Message request;
};

inline std::mutex runsMutex;
inline std::vector<Run> runs;

/** A runner of a plain service. `handle` may take over a request: true if it has answered. */
class Runner
{
public:
    Runner(std::string id, std::string service, std::string zone)
        : id(std::move(id))
        , service(std::move(service))
        , zone(std::move(zone))
    {
        this->server.run([this](Wire &wire) { this->serve(wire); });
    }

    std::string entry(const std::string &state = "in_service", int sequence = 1) const
    {
        const Json json{{"Service", this->service}, {"Address", this->server.text()},
                        {"Zone", this->zone},       {"Version", "v1"},
                        {"Slots", 6},               {"State", state},
                        {"ColdLeftMs", 0},          {"Models", Json::array()},
                        {"Sequence", sequence},     {"born", this->born}};
        return json.dump();
    }

    void noteRun(const Message &request)
    {
        record.line("runner %s runs %s  [%s] body of %zu bytes", this->id.c_str(),
                    request.get("X-Attempt-Id").c_str(), request.first.c_str(), request.body.size());
        const std::lock_guard guard(runsMutex);
        runs.push_back({now(), request.get("X-Attempt-Id"), request.first, request.body, this->id, request});
    }

    std::string headOf(const Message &request) const
    {
        return "X-Attempt-Id: " + request.get("X-Attempt-Id") + "\r\nX-Server-Seal: seal." + this->id
            + "." + request.get("X-Attempt-Id") + "\r\n";
    }

    std::function<bool(Wire &, Message &)> handle;
    std::atomic<int> workMs{20};
    const std::string id;
    const std::string service;
    const std::string zone;
    std::int64_t born = 1000;
    Server server;

private:
    void serve(Wire &wire)
    {
        while (true) {
            Message request = wire.read(false);
            if (!request.ok || !request.whole)
                return;
            if (request.get("X-Target-Instance") != this->id && request.has("X-Target-Instance")) {
                sendAll(wire.fd, answer("421 Misdirected Request",
                                        "X-Instance-Id: " + this->id + "\r\nX-Attempt-Id: "
                                            + request.get("X-Attempt-Id") + "\r\nX-Not-Executed: 1\r\n",
                                        ""));
                continue;
            }
            if (this->handle && this->handle(wire, request)) {
                if (wire.fd < 0)
                    return;
                continue;
            }
            this->noteRun(request);
            sleepMs(this->workMs);
            if (isClosed(wire.fd))
                return;
            if (!sendAll(wire.fd, answer("200 OK", this->headOf(request), "answer to " + request.get("X-Attempt-Id"))))
                return;
        }
    }
};

/** A daemon as a process of its own, with the command of the deploy file. */
class Daemon
{
public:
    Daemon(std::string name, std::string zone, std::string ip, std::string folder)
        : name(std::move(name))
        , zone(std::move(zone))
        , ip(std::move(ip))
        , folder(std::move(folder))
    { }

    /** `extra` replaces or adds settings. */
    void start(const std::string &storeAddress, const std::vector<std::string> &seeds, bool first, int basePort,
               const Json &extra = Json::object())
    {
        this->base = basePort;
        Json settings{
            {"vm", this->name},
            {"zone", this->zone},
            {"capacity", 0.25},
            {"resources", {{"memoryMb", 260}, {"descriptors", 4100}}},
            {"firstStart", first},
            {"platform", "metadata-store"},
            {"callers", this->at(0)},
            {"readiness", this->at(1)},
            {"operators", this->at(2)},
            {"peers", this->at(3)},
            {"forwards", this->at(4)},
            {"seeds", seeds},
            {"store", storeAddress},
            {"partitions", 12},
            {"heartbeatMs", 1200},
            {"retries", {{"ratio", 0.2}, {"slack", 54}, {"windowSeconds", 10}}},
            {"lease", {{"apartMs", 3000}}}};
        settings.update(extra);
        const std::string path = this->folder + "/" + this->name + ".json";
        std::ofstream(path) << settings.dump(2);
        const std::string log = this->folder + "/" + this->name + ".log";
        this->pid = fork();
        if (this->pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this program, however that ends
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            setenv("MONSOONBAY_CONFIG", path.c_str(), 1);
            execl("target/tools/monsoonbayd/monsoonbayd", "target/tools/monsoonbayd/monsoonbayd",
                  static_cast<char *>(nullptr));
            _exit(127);
        }
        record.line("started %s, process %d", this->name.c_str(), this->pid);
    }

    std::string at(int offset) const
    {
        return this->ip + ":" + std::to_string(this->base + offset);
    }

    void send(int number) const
    {
        record.line("signal %d to %s", number, this->name.c_str());
        if (this->pid > 0)
            kill(this->pid, number);
    }

    /** Waits for its end; false if it still runs after that time. */
    bool wait(int ms)
    {
        for (int waited = 0; waited <= ms && this->pid > 0; waited += 20) {
            int status = 0;
            if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
                this->exitStatus = status;
                this->pid = 0;
                return true;
            }
            sleepMs(20);
        }
        return this->pid <= 0;
    }

    void end()
    {
        if (this->pid > 0) {
            kill(this->pid, SIGCONT);
            kill(this->pid, SIGKILL);
            this->wait(5000);
        }
    }

    bool isReady() const
    {
        const int fd = connectTo(this->ip, this->base + 1);
        if (fd < 0)
            return false;
        Wire wire{fd, {}};
        sendAll(fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        const Message reply = wire.read(true, 1000);
        close(fd);
        return reply.status() == 200;
    }

    bool awaitReady(int ms) const
    {
        for (int waited = 0; waited < ms; waited += 50) {
            if (this->isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }

    const std::string name;
    const std::string zone;
    const std::string ip;
    const std::string folder;
    int base = 0;
    pid_t pid = 0;
    int exitStatus = 0;
};

/** Base of five ports that are free at all of these addresses. */
inline int freePorts(const std::vector<std::string> &ips)
{
    for (int base = 21000 + getpid() % 4000 * 5; base < 60000; base += 5) {
        bool free = true;
        for (const std::string &ip : ips) {
            for (int offset = 0; offset < 5 && free; ++offset) {
                int bound = 0;
                const int fd = listenOn(ip, base + offset, bound);
                free = fd >= 0;
                if (fd >= 0)
                    close(fd);
            }
        }
        if (free)
            return base;
    }
    return 0;
}

inline Json plainRoute(const std::string &name, const std::string &kind, const std::string &service,
                       int attempts, int timeoutMs = 3000)
{
    return {{"Name", "r-" + name},          {"Host", "h.example"},
            {"PathPrefix", "/" + name + "/"}, {"RouteType", kind},
            {"TimeoutMs", timeoutMs},       {"TargetLatencyMs", 300},
            {"Priority", 2},                {"Service", service},
            {"MaxAttempts", attempts}};
}

inline Json limitsJson()
{
    return {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}};
}

inline std::string requestHead(const std::string &method, const std::string &path, const std::string &id,
                               int budgetMs, const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
        + "\r\nX-Time-Budget: " + std::to_string(budgetMs) + "\r\n" + fields + "\r\n";
}

} // namespace review
