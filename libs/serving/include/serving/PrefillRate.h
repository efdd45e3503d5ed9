#pragma once

#include <array>
#include <cstddef>

#include "core/Time.h"

namespace monsoonbay {

/** Prefill rate of a service's engines, measured from this VM's own calls. */
struct PrefillRate
{
    /** Rate measured by one call that found no tokens waiting at its engine. */
    struct Sample
    {
        double tokensPerMs = 0;
        Instant at{};

        auto operator<=>(const Sample &) const = default;
    };

    std::array<Sample, 32> samples{}; ///< ring buffer
    std::size_t nextSample = 0;
    double tokensPerMs = 0; ///< 0: too few samples

    auto operator<=>(const PrefillRate &) const = default;
};

/** Observation of one call. */
struct PrefillSample
{
    double unreadTokens = 0; ///< prompt tokens that the engine had to prefill
    double waitingTokens = 0; ///< tokens of other calls known to wait at the engine when the call
                              ///< was sent
    Duration untilFirstEvent{};
};

/** Adds an observation; short prompts and calls that had to queue are ignored. */
void addPrefillSample(PrefillRate &rate, const PrefillSample &sample, Instant now) noexcept;

/** Tokens per ms; `fallback` without enough samples, and always within a fixed factor of it. */
double prefillRate(const PrefillRate &rate, double fallback) noexcept;

} // namespace monsoonbay
