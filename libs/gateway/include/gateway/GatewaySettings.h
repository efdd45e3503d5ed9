#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "access/Confirmation.h"
#include "config/Settings.h"
#include "core/Time.h"
#include "gateway/PlacementSettings.h"
#include "quota/WorkspaceLimit.h"
#include "serving/EngineChoice.h"
#include "serving/PartitionLease.h"
#include "serving/ServiceRetryBudget.h"

namespace monsoonbay {

/** Settings of a daemon that serves as a gateway on a platform with a metadata store. */
struct GatewaySettings
{
    std::string vm;
    std::string zone;
    double capacity = 1; ///< cores of this VM; the strongest VM of a zone relays
    std::string platform; ///< name of the plug-in that speaks the platform's protocols
    Endpoint callers;
    Endpoint readiness;
    Endpoint operators;
    Endpoint peers; ///< where other VMs reach this one
    std::optional<Endpoint> peersListen; ///< where it listens for them, if not there
    /** Where it takes calls that other VMs forward; these do so at the same port. Nothing: none. */
    std::optional<Endpoint> forwards;
    bool firstStart = false; ///< the whole system starts for the first time
    std::vector<Endpoint> seeds; ///< peers to begin with
    Endpoint store; ///< the platform's metadata store
    int partitions = 12; ///< of a topic of the store
    Duration heartbeat = std::chrono::milliseconds(1200); ///< of targets in the list
    Duration shutdownLimit = std::chrono::seconds(7);
    RetryPolicy retries;
    AccessPolicy access;
    QuotaPolicy quota;
    bool quotaGiven = false; ///< then use is noted in the store; see quota/UsageSnapshot.h
    LeaseTiming lease;
    EngineWeights weights;
    PlacementSettings placement;
    int logLinesPerSecond = 40; ///< of one kind of event

    bool operator==(const GatewaySettings &) const = default;
};

/** Reads settings; unknown keys are problems that name the nearest known one. */
Parsed<GatewaySettings> parseGatewaySettings(std::string_view json);

/** True if the text is settings of a gateway rather than of an entry VM with owners. */
bool isGatewaySettings(std::string_view json);

} // namespace monsoonbay
