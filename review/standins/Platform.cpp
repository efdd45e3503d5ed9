#include "Platform.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

namespace {

std::string base64(const std::string &text)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        unsigned group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte)
            group = (group << 8)
                | (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        for (int digit = 0; digit < 4; ++digit)
            out += at + static_cast<std::size_t>(digit) > text.size()
                ? '='
                : digits[(group >> (18 - 6 * digit)) & 63];
    }
    return out;
}

std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string out;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        out += static_cast<char>((value >> shift) & 0xff);
    return out;
}

std::string parameter(const std::string &target, const std::string &name)
{
    std::size_t begin = target.find('?');
    while (begin != std::string::npos) {
        if (target.compare(begin + 1, name.size() + 1, name + "=") == 0) {
            const std::size_t from = begin + name.size() + 2;
            return target.substr(from, target.find('&', from) - from);
        }
        begin = target.find('&', begin + 1);
    }
    return {};
}

std::string jsonAnswer(int status, const Json &json)
{
    return answerText(status, status == 200 ? "OK" : "Refused",
                      {{"Content-Type", "application/json"}}, json.dump());
}

} // namespace

Store::Store(const std::string &address, int partitions)
    : partitions(partitions)
{
    this->server =
        std::make_unique<Server>(address, [this](Connection &connection, const Message &request) {
            return this->handle(connection, request);
        });
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard guard(this->mutex);
    this->topics[topic].push_back({key, value});
}

void Store::rebalance()
{
    const std::lock_guard guard(this->mutex);
    for (auto &[name, group] : this->groups) {
        this->deal(group);
        for (std::string &wanted : group.wanted) {
            auto next = std::next(group.members.find(wanted));
            wanted = next == group.members.end() ? group.members.begin()->first : next->first;
        }
        group.owner = group.wanted;
    }
}

void Store::copy()
{
    const std::lock_guard guard(this->mutex);
    this->copiedTopics = this->topics;
    this->copiedGroups = this->groups;
}

void Store::setAway(bool away)
{
    this->away = away;
}

void Store::restore()
{
    const std::lock_guard guard(this->mutex);
    const std::map<std::string, std::vector<Record>> lost =
        std::exchange(this->topics, this->copiedTopics);
    this->groups = this->copiedGroups;
    for (auto &[name, group] : this->groups) {
        for (auto &[member, state] : group.members)
            state.lastJoin = nowMs(); // the times of members pause while the store is away
    }
    for (const char *topic : {"keyed.op", "keyed.servers"}) {
        std::map<std::string, std::string> newest;
        for (const Record &record : lost.at(topic))
            newest[record.key] = record.value;
        for (const auto &[key, value] : newest)
            this->topics[topic].push_back({key, value});
    }
    ++this->era;
}

bool Store::handle(Connection &connection, const Message &request)
{
    std::string answer =
        this->away ? answerText(503, "Service Unavailable", {}, "") : this->answerTo(request);
    const std::size_t lineEnd = answer.find("\r\n");
    answer.insert(lineEnd + 2, "Store-Era: " + std::to_string(this->era) + "\r\n");
    return connection.write(answer);
}

std::string Store::answerTo(const Message &request)
{
    const std::string target = request.word(1);
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = parameter(target, "Topic");
    if (path == "/log-newest")
        return this->newest(topic);
    if (path == "/log-read")
        return this->read(topic, std::stoul(parameter(target, "StartFrom")),
                          std::atoll(parameter(target, "WaitMs").c_str()));
    if (path == "/log-append")
        return this->append(topic, parameter(target, "At"), request.body);
    if (path == "/log-join")
        return this->join(request.body);
    if (path == "/log-leave")
        return this->leave(request.body);
    return jsonAnswer(404, Json::object());
}

std::string Store::newest(const std::string &topic)
{
    const std::lock_guard guard(this->mutex);
    const std::vector<Record> &records = this->topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t index = 0; index < records.size(); ++index)
        last[records[index].key] = index;
    Json items = Json::array();
    for (const auto &[key, index] : last) {
        if (!records[index].value.empty())
            items.push_back(
                {{"Key", key}, {"Value", base64(records[index].value)}, {"Offset", index}});
    }
    return jsonAnswer(200, {{"items", items}, {"HasMore", false}, {"End", records.size()}});
}

std::string Store::read(const std::string &topic, std::size_t from, long long waitMs)
{
    const long long limit = nowMs() + waitMs;
    while (true) {
        {
            const std::lock_guard guard(this->mutex);
            const std::vector<Record> &records = this->topics[topic];
            if (records.size() < from)
                return jsonAnswer(410, {{"First", 0}});
            if (this->away)
                return answerText(503, "Service Unavailable", {}, "");
            if (records.size() > from || nowMs() >= limit) {
                std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
                for (std::size_t index = from; index < records.size(); ++index) {
                    const Record &record = records[index];
                    const std::string content =
                        static_cast<char>(record.key.size()) + record.key + record.value;
                    body += bigEndian(content.size(), 4) + content;
                }
                return answerText(200, "OK", {{"Content-Type", "application/octet-stream"}}, body);
            }
        }
        sleepMs(5);
    }
}

std::string Store::append(const std::string &topic, const std::string &at, const std::string &body)
{
    const std::lock_guard guard(this->mutex);
    std::vector<Record> &records = this->topics[topic];
    if (!at.empty() && std::stoul(at) != records.size())
        return jsonAnswer(412, {{"End", records.size()}});
    const std::size_t offset = records.size();
    for (std::size_t position = 0; position + 4 <= body.size();) {
        std::size_t length = 0;
        for (int byte = 0; byte < 4; ++byte)
            length = (length << 8)
                | static_cast<unsigned char>(body[position + static_cast<std::size_t>(byte)]);
        const std::string content = body.substr(position + 4, length);
        const auto keyLength = static_cast<unsigned char>(content.at(0));
        records.push_back({content.substr(1, keyLength), content.substr(1 + keyLength)});
        position += 4 + length;
    }
    return jsonAnswer(200, {{"Offset", offset}, {"End", records.size()}});
}

void Store::deal(Group &group)
{
    ++group.generation;
    group.owner.resize(static_cast<std::size_t>(this->partitions));
    group.wanted.assign(static_cast<std::size_t>(this->partitions), "");
    if (group.members.empty())
        return;
    auto member = group.members.begin();
    for (std::string &wanted : group.wanted) {
        wanted = member->first;
        if (++member == group.members.end())
            member = group.members.begin();
    }
}

void Store::removeMember(Group &group, const std::string &name)
{
    group.members.erase(name);
    std::replace(group.owner.begin(), group.owner.end(), name, std::string());
}

std::string Store::join(const std::string &body)
{
    const Json request = Json::parse(body);
    const auto name = request["Member"].get<std::string>();
    const long long known = request["Generation"].get<long long>();
    const std::lock_guard guard(this->mutex);
    Group &group = this->groups[request["group"].get<std::string>()];
    std::vector<std::string> lapsed;
    for (const auto &[other, member] : group.members) {
        if (nowMs() - member.lastJoin > member.ttlMs)
            lapsed.push_back(other);
    }
    for (const std::string &other : lapsed)
        this->removeMember(group, other);
    const bool isNew = group.members.count(name) == 0;
    group.members[name] = {nowMs(), request["TtlMs"].get<long long>()};
    if (isNew || !lapsed.empty())
        this->deal(group);
    Json parts = Json::array();
    for (int partition = 0; partition < this->partitions; ++partition) {
        std::string &owner = group.owner[static_cast<std::size_t>(partition)];
        const std::string &wanted = group.wanted[static_cast<std::size_t>(partition)];
        if (owner == name && wanted != name && known >= group.generation)
            owner.clear();
        if (owner.empty() && wanted == name)
            owner = name;
        if (owner == name && wanted == name)
            parts.push_back({request["Topics"][0], partition, 0});
    }
    return jsonAnswer(
        200, {{"Generation", group.generation}, {"TtlMs", request["TtlMs"]}, {"parts", parts}});
}

std::string Store::leave(const std::string &body)
{
    const Json request = Json::parse(body);
    const std::lock_guard guard(this->mutex);
    Group &group = this->groups[request["group"].get<std::string>()];
    const auto name = request["Member"].get<std::string>();
    if (group.members.count(name) > 0) {
        this->removeMember(group, name);
        this->deal(group);
    }
    return jsonAnswer(200, Json::object());
}

Daemon::Daemon(std::string program, std::string folder, std::string name, std::string settings)
    : program(std::move(program))
    , folder(std::move(folder))
    , name(std::move(name))
    , settings(std::move(settings))
{ }

Daemon::~Daemon()
{
    if (this->process <= 0)
        return;
    this->signal(SIGCONT);
    this->signal(SIGKILL);
    ::waitpid(this->process, nullptr, 0);
}

void Daemon::start()
{
    const std::string path = this->folder + "/" + this->name + ".json";
    std::ofstream(path) << this->settings;
    const std::string log = this->folder + "/" + this->name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string variable = "MONSOONBAY_CONFIG=" + path;
    std::string search = std::string("PATH=") + std::getenv("PATH");
    char *environment[] = {variable.data(), search.data(), nullptr};
    char *arguments[] = {this->program.data(), nullptr};
    if (posix_spawn(&this->process, this->program.c_str(), &actions, nullptr, arguments,
                    environment)
        != 0)
        this->process = -1;
    // run-case.sh ends what is left if this program is ended itself.
    std::ofstream(this->folder + "/processes", std::ios::app) << this->process << "\n";
    posix_spawn_file_actions_destroy(&actions);
}

void Daemon::signal(int number) const
{
    if (this->process > 0)
        ::kill(this->process, number);
}

bool Daemon::waitEnd(long long ms)
{
    const long long limit = nowMs() + ms;
    while (nowMs() < limit) {
        if (!this->runs())
            return true;
        sleepMs(10);
    }
    return false;
}

bool Daemon::runs()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process)
        this->process = -1; // its id may be used again
    return this->process > 0;
}

Log::Log(const std::string &path)
    : begun(nowMs())
    , descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{ }

void Log::line(const std::string &text)
{
    const std::lock_guard guard(this->mutex);
    const std::string line = std::to_string(nowMs() - this->begun) + " ms " + text + "\n";
    if (::write(this->descriptor, line.data(), line.size()) < 0)
        std::abort();
}

} // namespace review
