#include "requests/Admission.h"

#include <algorithm>
#include <cassert>

namespace monsoonbay {

namespace {

constexpr Duration retryWhenFull = std::chrono::seconds(2);

} // namespace

AdmissionDecision admit(AdmissionState &state, ServiceId service, double share)
{
    int &own = state.inFlight[service];
    const auto limit = static_cast<double>(state.config.maxInFlight);
    const bool contended = state.total >= limit * state.config.contendedShare;
    const bool overShare = contended && own >= std::max(1.0, limit * share);
    if (state.total >= state.config.maxInFlight || overShare)
        return AdmissionDecision{ErrorKind::Overloaded, retryWhenFull};
    ++own;
    ++state.total;
    return AdmissionDecision{};
}

void release(AdmissionState &state, ServiceId service)
{
    const auto found = state.inFlight.find(service);
    assert(found != state.inFlight.end() && found->second > 0);
    --state.total;
    if (--found->second == 0)
        state.inFlight.erase(found);
}

} // namespace monsoonbay
