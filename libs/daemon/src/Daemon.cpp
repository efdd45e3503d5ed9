#include "daemon/Daemon.h"

#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/strand.hpp>

#include "Coordinator.h"
#include "Ingress.h"
#include "ManifestReader.h"
#include "Node.h"
#include "Operators.h"
#include "OwnerLoop.h"
#include "OwnerRun.h"
#include "PeerExchange.h"
#include "observe/Events.h"
#include "transport/CallerConnections.h"

namespace monsoonbay {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(20);
/**
 * Time for the leave messages to reach the peers. It is waited before requests in flight are
 * checked and again after the last of them has ended.
 */
constexpr auto leaveDelay = std::chrono::milliseconds(300);
constexpr auto drainDelay = std::chrono::milliseconds(100);

PeerHandlers peerHandlers(Node &node)
{
    PeerHandlers handlers;
    handlers.run = [&node](v1::RunRequest request, std::shared_ptr<RunSink> sink) {
        return runOnTarget(node, std::move(request), std::move(sink));
    };
    handlers.tell = [&node](v1::PeerNews news) {
        return takeNews(node, std::move(news));
    };
    handlers.record = [&node](const v1::RecordRequest &request) {
        return takeRecord(node, request);
    };
    handlers.fetchManifest = [&node](const v1::FetchManifestRequest &request) {
        return serveManifest(node, request);
    };
    return handlers;
}

HttpLimits callerLimits(const Settings &settings)
{
    HttpLimits limits;
    limits.connections = limitsFor(withinProcessLimit(settings.resources));
    return limits;
}

HttpLimits operatorLimits()
{
    HttpLimits limits;
    limits.connections = {16UL * 1024 * 1024, 64};
    return limits;
}

} // namespace

struct Daemon::Impl
{
    explicit Impl(const Settings &settings)
        : node(settings)
        , work(asio::make_work_guard(this->node.context))
        , peers(std::make_unique<PeerServer>(this->node.context, settings.peers,
                                             peerHandlers(this->node)))
        , callers(std::make_unique<HttpServer>(
              this->node.context, settings.callers,
              [this](HttpExchange &exchange) { return handleCaller(this->node, exchange); },
              callerLimits(settings)))
        , operators(std::make_unique<HttpServer>(
              this->node.context, settings.operators,
              [this](HttpExchange &exchange) { return handleOperator(this->node, exchange); },
              operatorLimits()))
    {
        const std::uint16_t peerPort = this->peers->port();
        this->node.membership.with(
            [peerPort](MembershipState &state) { state.self.port = peerPort; });
    }

    void start()
    {
        this->spawn(membershipLoop(this->node));
        this->spawn(vmListLoop(this->node));
        this->spawn(logLoop(this->node));
        this->spawn(ownerLoop(this->node));
        this->spawn(coordinatorLoop(this->node));
        this->spawn(traceLoop(this->node));
        for (int index = 0; index < this->node.settings.threads; ++index)
            this->threads.emplace_back([this] { this->node.context.run(); });
    }

    void spawn(asio::awaitable<void> loop)
    {
        asio::co_spawn(asio::make_strand(this->node.context), std::move(loop), asio::detached);
    }

    void stopThreads()
    {
        this->node.stopped = true;
        this->callers->stopAccepting();
        this->operators->stopAccepting();
        std::this_thread::sleep_for(drainDelay);
        this->node.context.stop();
        for (std::thread &thread : this->threads)
            thread.join();
        this->threads.clear();
        this->peers.reset();
    }

    std::uint64_t inFlight() const
    {
        return this->node.callersInFlight + this->node.ownerRuns;
    }

    Node node;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<PeerServer> peers;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> operators;
    std::vector<std::thread> threads;
    std::atomic<int> shutdownRequests{0};
};

Daemon::Daemon(const Settings &settings)
    : impl(std::make_unique<Impl>(settings))
{
    this->impl->start();
    logEvent(EventId::Started,
             {{"callers", settings.callers.text()},
              {"peers", settings.peers.text()},
              {"zone", settings.zone}});
}

Daemon::~Daemon()
{
    if (!this->impl->threads.empty())
        this->impl->stopThreads();
}

DaemonPorts Daemon::ports() const
{
    return {this->impl->callers->port(), this->impl->peers->port(), this->impl->operators->port()};
}

bool Daemon::ready() const
{
    return isReady(this->impl->node);
}

void Daemon::requestShutdown()
{
    if (++this->impl->shutdownRequests > 1)
        return;
    Node &node = this->impl->node;
    node.shuttingDown = true;
    logEvent(EventId::ShutdownBegun, {{"inFlight", std::to_string(this->impl->inFlight())}});
    asio::post(node.context, [&node] {
        releaseTargets(node);
        node.membership.with([](MembershipState &state) { leave(state); });
        postToAll(node, [](v1::PeerNews &) {});
    });
}

ShutdownReport Daemon::wait()
{
    Node &node = this->impl->node;
    while (this->impl->shutdownRequests == 0)
        std::this_thread::sleep_for(pollInterval);
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(node.settings.shutdownSeconds);
    const auto mayWait = [&] {
        return this->impl->shutdownRequests == 1 && std::chrono::steady_clock::now() < limit;
    };
    std::this_thread::sleep_for(leaveDelay);
    while (this->impl->inFlight() > 0 && mayWait())
        std::this_thread::sleep_for(pollInterval);
    ShutdownReport report;
    report.abortedRequests = this->impl->inFlight();
    if (report.abortedRequests > 0)
        logEvent(EventId::ShutdownCut, {{"requests", std::to_string(report.abortedRequests)}});
    else
        logEvent(EventId::ShutdownDone, {});
    std::this_thread::sleep_for(leaveDelay);
    this->impl->stopThreads();
    return report;
}

void Daemon::kill()
{
    this->impl->stopThreads();
}

} // namespace monsoonbay
