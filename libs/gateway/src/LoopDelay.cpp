#include "LoopDelay.h"

namespace monsoonbay {

namespace {

constexpr Duration measureInterval = std::chrono::milliseconds(500);

} // namespace

asio::awaitable<void> loopDelayLoop(GatewayNode &node)
{
    while (!node.stopped) {
        const Instant due = BootClock::now() + measureInterval;
        co_await pauseFor(node, measureInterval);
        node.loopDelay = std::max(BootClock::now() - due, Duration::zero());
        node.metrics.record(Timing::LoopDelay, toSeconds(node.loopDelay));
    }
}

} // namespace monsoonbay
