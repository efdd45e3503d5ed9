#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace monsoonbay {

/**
 * The gRPC calls of a server or client that have not ended. gRPC waits for each of them when the
 * server or client is destroyed, but the coroutine that would end a call may never run again once
 * its io_context has stopped: the shutdown would hang. So each call is registered with a function
 * that ends it from outside, and that is called at most once.
 */
class OpenCalls
{
public:
    /** Registers a call with the function that ends it; after endAll() it is ended at once. */
    std::uint64_t add(std::function<void()> end)
    {
        std::unique_lock guard(this->mutex);
        const std::uint64_t call = ++this->lastId;
        ++this->open;
        if (!this->allEnded) {
            this->endHandlers[call] = std::move(end);
            return call;
        }
        // A server accepts calls until its shutdown takes effect, and then waits for each of them.
        guard.unlock();
        end();
        return call;
    }

    /** Claims the right to end the call; false if the call was claimed or ended before. */
    bool claimEnd(std::uint64_t call)
    {
        const std::lock_guard guard(this->mutex);
        return this->endHandlers.erase(call) > 0;
    }

    /** Marks a call as over; none of its callbacks may run after this. */
    void markEnded()
    {
        const std::lock_guard guard(this->mutex);
        --this->open;
        this->changed.notify_all();
    }

    /** Ends all open calls, and from now on each new one as soon as it is added. */
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
    bool allEnded = false; ///< endAll() was called; add() ends new calls at once
};

} // namespace monsoonbay
