#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Net.h"

namespace review {

/** The platform's metadata store: a log with topics, and groups of consumers. */
class Store
{
public:
    explicit Store(const std::string &address, int partitions);

    int port() const
    {
        return this->server->port();
    }

    /** Appends a record, as the operator and the runners do; an empty value drops the key. */
    void put(const std::string &topic, const std::string &key, const std::string &value);

    /** Assigns all partitions of each group anew at once, to the next member. */
    void rebalance();

    /** Keeps a copy of all that the store holds. */
    void copy();

    /** While it is away, it answers everything with 503. */
    void setAway(bool away);

    /**
     * Comes back from the copy: what was written since is gone, but for what the operator and the
     * runners wrote, which they write again. The era rises by one.
     */
    void restore();

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Member
    {
        long long lastJoin = 0;
        long long ttlMs = 0;
    };

    /** A partition moves when its owner has joined with the newest generation, has left or lapsed.
     */
    struct Group
    {
        long long generation = 0;
        std::map<std::string, Member> members;
        std::vector<std::string> owner;
        std::vector<std::string> wanted;
    };

    bool handle(Connection &connection, const Message &request);
    std::string answerTo(const Message &request);
    std::string newest(const std::string &topic);
    std::string read(const std::string &topic, std::size_t from, long long waitMs);
    std::string append(const std::string &topic, const std::string &at, const std::string &body);
    std::string join(const std::string &body);
    std::string leave(const std::string &body);
    void deal(Group &group);
    void removeMember(Group &group, const std::string &name);

    int partitions;
    std::mutex mutex;
    std::map<std::string, std::vector<Record>> topics;
    std::map<std::string, Group> groups;
    std::map<std::string, std::vector<Record>> copiedTopics;
    std::map<std::string, Group> copiedGroups;
    std::atomic<bool> away{false};
    std::atomic<int> era{1};
    std::unique_ptr<Server> server;
};

/** A daemon process of the project, started with the command of the deploy file. */
class Daemon
{
public:
    Daemon(std::string program, std::string folder, std::string name, std::string settings);
    ~Daemon();

    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    void start();
    void signal(int number) const;
    /** Waits for its end; false if it still runs after that time. */
    bool waitEnd(long long ms);
    bool runs();

private:
    std::string program;
    std::string folder;
    std::string name;
    std::string settings;
    int process = -1;
};

/** The lines of record.txt. */
class Log
{
public:
    explicit Log(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    long long begun;
    int descriptor;
};

} // namespace review
