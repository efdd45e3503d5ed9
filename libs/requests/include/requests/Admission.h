#pragma once

#include <unordered_map>

#include "core/Error.h"
#include "core/Ids.h"
#include "core/Time.h"

namespace monsoonbay {

/** Bounds of what one entry VM holds at once. */
struct AdmissionConfig
{
    int maxInFlight = 2000;
    double contendedShare = 0.5; ///< fill from which on services are held to their shares
};

/** Requests in flight at one entry VM, by service. */
struct AdmissionState
{
    AdmissionConfig config;
    std::unordered_map<ServiceId, int> inFlight;
    int total = 0;
};

/** Verdict on a request at the door. */
struct AdmissionDecision
{
    ErrorKind refusal = ErrorKind::Ok;
    Duration retryAfter{};
};

/**
 * Admits a request or refuses it as not run. While there is room anyone may use it; once the VM
 * is half full no service gets more than its share, so that one cannot shut the others out.
 */
AdmissionDecision admit(AdmissionState &state, ServiceId service, double share);

/** Gives back the place of an admitted request. */
void release(AdmissionState &state, ServiceId service);

} // namespace monsoonbay
