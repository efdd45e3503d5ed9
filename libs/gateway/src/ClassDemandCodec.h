#pragma once

#include "Gateway.pb.h"
#include "quota/WorkspaceUse.h"

namespace monsoonbay {

/** Demand by class of calls in the news; the fields 4 to 6 of the message WorkspaceUse. */

/** A number beyond this is taken for damaged; sums of many such numbers stay exact. */
constexpr std::uint64_t maxReportedNumber = 1'000'000'000'000'000;

void encodeClassDemand(const WorkspaceUse &use, gateway::v1::WorkspaceUse &message);

/**
 * Sets the demand by class of `use`. If it is invalid it stays empty and the result is false: all
 * that `told` asks for counts towards the last class. A former version tells none, which is valid.
 */
bool decodeClassDemand(const gateway::v1::WorkspaceUse &message, WorkspaceUse &use);

} // namespace monsoonbay
