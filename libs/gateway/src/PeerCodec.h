#pragma once

#include <vector>

#include "Gateway.pb.h"
#include "GatewayNode.h"
#include "core/Time.h"

namespace monsoonbay {

/** Conversion between types of the serving libraries and the messages between VMs. */

void encodeVm(const std::string &name, const Endpoint &endpoint, std::uint64_t boot,
              const SharedVm &sharedVm, gateway::v1::Vm &vm);
/** Encodes this VM itself. */
void encodeSelf(const GatewayNode &node, gateway::v1::Vm &vm);
Endpoint decodeEndpoint(const gateway::v1::Vm &vm);
SharedVm decodeVm(const gateway::v1::Vm &vm);

void encodeEngine(const std::string &target, const EngineRecord &record,
                  gateway::v1::EngineState &state);
EngineRecord decodeEngine(const gateway::v1::EngineState &state);

void encodeChange(const std::string &target, const EngineChange &change,
                  gateway::v1::EngineState &state);
EngineChange decodeChange(const gateway::v1::EngineState &state);

/** Rank of the route whose call needs a load. */
void encodeRank(int rank, gateway::v1::LoadRequest &request);
int decodeRank(const gateway::v1::LoadRequest &request);

/** The lease holder's answer that it does not begin a load. */
void encodeDecline(const LoadDecline &decline, gateway::v1::LoadReply &reply);
LoadDecline decodeDecline(const gateway::v1::LoadReply &reply);

/** Without the adapters in use: only the engine's lease holder gets them, see UsageReports.h. */
void encodeTargetUsage(const std::string &target, const TargetUsage &usage,
                       gateway::v1::EngineUse &message);
void encodeWorkspaceUse(const std::string &workspace, const WorkspaceUse &usage,
                        gateway::v1::WorkspaceUse &message);
WorkspaceUse decodeWorkspaceUse(const gateway::v1::WorkspaceUse &message);
/** All entries of one message; logs one event if some of them are invalid. */
WorkspaceUses
decodeWorkspaceUses(const google::protobuf::RepeatedPtrField<gateway::v1::WorkspaceUse> &all,
                    const gateway::v1::Vm &from);

TargetUsage decodeTargetUsage(const gateway::v1::EngineUse &message);

void encodeTarget(const std::string &target, const SharedTarget &sharedTarget,
                  gateway::v1::Target &message);
SharedTarget decodeTarget(const gateway::v1::Target &message);

void encodeRelease(const PartitionRelease &release, Instant now, gateway::v1::Released &message);
PartitionRelease decodeRelease(const gateway::v1::Released &message, Instant now);

void encodeEvidence(std::uint64_t id, const CallEvidence &evidence, Instant now,
                    gateway::v1::CallEvidence &message);
CallEvidence decodeEvidence(const gateway::v1::CallEvidence &message, Instant now);

} // namespace monsoonbay
