#include "Scene.h"

#include <csignal>
#include <iostream>

namespace review {

using Json = nlohmann::json;

namespace {

constexpr long long readyTimeoutMs = 10000;
constexpr long long answerSlackMs = 500;
constexpr long long shutdownMs = 9000;

} // namespace

Json callerLimits()
{
    return {{"MaxHeaderBytes", 16384},
            {"MaxBodyBytes", 1048576},
            {"HeaderTimeoutMs", 3000},
            {"IdleTimeoutMs", 15000}};
}

Vms::Vms(const std::string &program, const std::string &folder, int count, int storePort)
{
    std::vector<std::string> addresses;
    for (int vm = 0; vm < count; ++vm)
        addresses.push_back(this->addressOf(static_cast<std::size_t>(vm)));
    this->callersPort = freePort(addresses);
    this->readyPort = freePort(addresses);
    const int control = freePort(addresses);
    const int peers = freePort(addresses);
    const int forwards = freePort(addresses);
    std::vector<std::string> seeds;
    for (const std::string &address : addresses)
        seeds.push_back(address + ":" + std::to_string(control));
    for (const std::string &address : addresses) {
        const auto at = [&address](int port) {
            return address + ":" + std::to_string(port);
        };
        const std::string name =
            std::string("edge-") + sceneZone + "-" + std::to_string(this->daemons.size() + 1);
        const Json settings{{"vm", name},
                            {"zone", sceneZone},
                            {"capacity", 0.25},
                            {"firstStart", true},
                            {"platform", "metadata-store"},
                            {"callers", at(this->callersPort)},
                            {"readiness", at(this->readyPort)},
                            {"operators", at(control)},
                            {"peers", at(peers)},
                            {"forwards", at(forwards)},
                            {"seeds", seeds},
                            {"store", "127.0.0.1:" + std::to_string(storePort)},
                            {"partitions", 12},
                            {"heartbeatMs", 1200},
                            {"retries", {{"ratio", 0.2}, {"slack", 54}, {"windowSeconds", 10}}},
                            {"lease", {{"apartMs", 3000}}}};
        this->daemons.push_back(std::make_unique<Daemon>(program, folder, name, settings.dump()));
    }
}

std::string Vms::addressOf(std::size_t vm) const
{
    return "127.0.0." + std::to_string(vm + 1);
}

bool Vms::isReady(std::size_t vm) const
{
    const auto connection = connectTo(this->addressOf(vm), this->readyPort);
    if (!connection || !connection->write("GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n"))
        return false;
    const auto answer = connection->read(500, true);
    return answer && answer->word(1) == "200";
}

bool Vms::start()
{
    for (const auto &daemon : this->daemons)
        daemon->start();
    const long long limit = nowMs() + readyTimeoutMs;
    for (std::size_t vm = 0; vm < this->daemons.size(); ++vm) {
        while (!this->isReady(vm)) {
            if (nowMs() > limit)
                return false;
            sleepMs(50);
        }
    }
    return true;
}

void Vms::stop()
{
    for (const auto &daemon : this->daemons)
        daemon->signal(SIGTERM);
    for (const auto &daemon : this->daemons)
        daemon->waitEnd(shutdownMs);
}

Seen Callers::call(std::unique_ptr<Connection> &connection, std::size_t vm, const Call &request)
{
    if (!connection)
        connection = connectTo(this->vms.addressOf(vm), this->vms.callersPort);
    this->log.line("sent " + request.attempt
                   + (request.model.empty() ? "" : " for " + request.model));
    std::string text = "POST " + request.path + " HTTP/1.1\r\nHost: " + sceneHost
        + "\r\nX-Attempt-Id: " + request.attempt;
    if (!request.model.empty())
        text += "\r\nX-Model: " + request.model + "\r\nX-Token-Count: 100,"
            + std::to_string(request.events);
    text += "\r\nX-Time-Budget: " + std::to_string(request.budgetMs)
        + "\r\nContent-Length: 4\r\n\r\nplan";
    Seen result;
    std::optional<Message> answer;
    if (connection && connection->write(text))
        answer = connection->read(static_cast<int>(request.budgetMs + answerSlackMs), true);
    if (answer) {
        result.status = answer->word(1);
        result.complete = answer->complete;
    }
    this->log.line("answered " + request.attempt + " with " + result.status
                   + (result.complete ? "" : ", incomplete"));
    if (!answer || !answer->complete || answer->header("Connection") == "close")
        connection.reset();
    const std::lock_guard guard(this->mutex);
    this->seen[request.attempt] = result;
    return result;
}

std::map<std::string, Seen> Callers::all()
{
    const std::lock_guard guard(this->mutex);
    return this->seen;
}

int judge(Log &log, RunLog &runs, Callers &callers)
{
    int twice = 0;
    for (const auto &[attempt, count] : runs.all()) {
        if (count < 2)
            continue;
        ++twice;
        log.line("TWICE: " + attempt + " ran " + std::to_string(count) + " times");
    }
    int served = 0;
    int refusedAndRun = 0;
    const std::map<std::string, Seen> seen = callers.all();
    for (const auto &[attempt, result] : seen) {
        served += result.status == "200" && result.complete ? 1 : 0;
        const bool promise = result.status == "429" || result.status == "503"
            || result.status == "408" || result.status == "421";
        if (!promise || runs.runsOf(attempt) == 0)
            continue;
        ++refusedAndRun;
        log.line("REFUSED: " + attempt + " was answered " + result.status + " and ran");
    }
    const std::string summary = "served " + std::to_string(served) + " of "
        + std::to_string(seen.size()) + ", ran twice " + std::to_string(twice)
        + ", refused and run " + std::to_string(refusedAndRun);
    log.line(summary);
    std::cout << summary << "\n";
    if (served == 0)
        return 2;
    return twice + refusedAndRun > 0 ? 1 : 0;
}

} // namespace review
