#pragma once

#include <array>
#include <cstddef>

#include "core/Time.h"

namespace monsoonbay {

/** How fast the engines of a service read prompts, as this VM's own calls show it. */
struct PrefillRate
{
    /** One call that found nothing waiting at its engine. */
    struct Sample
    {
        double tokensPerMs = 0;
        Instant at{};

        auto operator<=>(const Sample &) const = default;
    };

    std::array<Sample, 32> samples{}; ///< the newest take the place of the oldest
    std::size_t nextSample = 0;
    double tokensPerMs = 0; ///< 0: too few samples

    auto operator<=>(const PrefillRate &) const = default;
};

/** A call as a sample of the pace. */
struct PrefillSample
{
    double unreadTokens = 0; ///< of its prompt, that the engine had to read
    double waitingTokens = 0; ///< of other calls there when it was sent, as far as known
    Duration untilFirstEvent{};
};

/** Takes a call into account; those that tell little of the pace are left out. */
void addPrefillSample(PrefillRate &pace, const PrefillSample &sample, Instant now) noexcept;

/** Tokens per ms; `fallback` while too little is known, and never far from it. */
double prefillRate(const PrefillRate &pace, double fallback) noexcept;

} // namespace monsoonbay
