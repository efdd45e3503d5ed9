#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace monsoonbay {

/**
 * Calls of gRPC that have not ended. gRPC waits for each of them when a server or a client is
 * destroyed, while the coroutine that would end it may never run again once its context has
 * stopped: the shutdown would hang. Here every call has a way to be ended from outside, once.
 */
class OpenCalls
{
public:
    /** Registers a call and how to end it from outside; after endAll() it is ended at once. */
    std::uint64_t add(std::function<void()> end)
    {
        std::unique_lock guard(this->mutex);
        const std::uint64_t call = ++this->lastId;
        ++this->open;
        if (!this->allEnded) {
            this->endHandlers[call] = std::move(end);
            return call;
        }
        // A server takes calls until its shutdown takes effect, and waits for each of them.
        guard.unlock();
        end();
        return call;
    }

    /** True for the one who may end the call now. */
    bool take(std::uint64_t call)
    {
        const std::lock_guard guard(this->mutex);
        return this->endHandlers.erase(call) > 0;
    }

    /** The call is over; nothing of it runs any more. */
    void done()
    {
        const std::lock_guard guard(this->mutex);
        --this->open;
        this->changed.notify_all();
    }

    /** Ends all that are open, and each that comes from now on. */
    void endAll()
    {
        std::map<std::uint64_t, std::function<void()>> toEnd;
        {
            const std::lock_guard guard(this->mutex);
            this->allEnded = true;
            toEnd.swap(this->endHandlers);
        }
        for (const auto &[call, end] : toEnd)
            end();
    }

    /** Blocks until all calls are over. */
    void waitAll()
    {
        std::unique_lock guard(this->mutex);
        this->changed.wait(guard, [this] { return this->open == 0; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::uint64_t, std::function<void()>> endHandlers;
    std::uint64_t lastId = 0;
    int open = 0;
    bool allEnded = false; ///< nobody is left to end what comes
};

} // namespace monsoonbay
