#pragma once

#include <unordered_map>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Limits of the requests in flight at one entry VM. */
struct AdmissionConfig
{
    int maxInFlight = 2000;
    double contendedShare = 0.5; ///< share of the limit from which on service shares apply
};

/** Requests in flight at one entry VM, by service. */
struct AdmissionState
{
    AdmissionConfig config;
    std::unordered_map<ServiceId, int> inFlight;
    int total = 0;
};

/** Result of the admission of a request. */
struct AdmissionDecision
{
    ErrorKind refusal = ErrorKind::Ok;
    Duration retryAfter{};
};

/**
 * Admits a request or refuses it as not run. From `contendedShare` of the limit on, a service gets
 * no more than its share, so that it cannot shut the others out; below, shares do not matter.
 */
AdmissionDecision admit(AdmissionState &state, ServiceId service, double share);

/** Frees the capacity that an admitted request held. */
void release(AdmissionState &state, ServiceId service);

} // namespace monsoonbay
