#include "transport/OpenCalls.h"

#include <atomic>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

using namespace monsoonbay;

// Guards against a shutdown that hangs: gRPC waits for a call that a peer began while the server
// was being shut down, and that nothing would end.
Test(open_calls, a_call_added_after_end_all_is_ended_at_once)
{
    OpenCalls calls;
    calls.endAll();
    int ended = 0;
    const std::uint64_t late = calls.add([&ended] { ++ended; });
    cr_assert_eq(ended, 1);
    cr_assert(!calls.claimEnd(late), "an ended call must not be ended again");
    calls.markEnded();
    calls.waitAll();
}

// Guards against a call that is ended twice, or not at all, when it is added during endAll().
Test(open_calls, calls_added_during_end_all_are_ended_once_each)
{
    constexpr int threads = 4;
    constexpr int callsOfEach = 2000;
    OpenCalls calls;
    std::vector<std::atomic<int>> ends(threads * callsOfEach);
    std::vector<std::thread> callers;
    for (int thread = 0; thread < threads; ++thread) {
        callers.emplace_back([&calls, &ends, thread] {
            for (int call = 0; call < callsOfEach; ++call) {
                std::atomic<int> &ended =
                    ends[static_cast<std::size_t>(thread * callsOfEach + call)];
                calls.add([&ended] { ++ended; });
            }
        });
    }
    calls.endAll();
    for (std::thread &caller : callers)
        caller.join();
    for (const std::atomic<int> &ended : ends)
        cr_assert_eq(ended.load(), 1);
}
