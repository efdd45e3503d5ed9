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

/** Settings of a gateway daemon on a platform that has a metadata store. */
struct GatewaySettings
{
    std::string vm;
    std::string zone;
    double capacity = 1; ///< cores of this VM; a VM with more cores is preferred as relay
    std::string platform; ///< name of the plug-in that implements the platform's protocols
    Endpoint callers;
    Endpoint readiness;
    Endpoint operators;
    Endpoint peers; ///< address at which other VMs reach this one
    std::optional<Endpoint> peersListen; ///< listening address, where it differs from `peers`
    /**
     * Listening address for calls that other VMs forward; all VMs use the same port. Nothing: this
     * VM takes no forwarded calls.
     */
    std::optional<Endpoint> forwards;
    bool firstStart = false; ///< the whole system starts for the first time
    std::vector<Endpoint> seeds; ///< peers known at the start
    Endpoint store; ///< the platform's metadata store
    int partitions = 12; ///< partitions of a topic of the store
    Duration heartbeat = std::chrono::milliseconds(1200); ///< interval of the targets' heartbeats
    Duration shutdownLimit = std::chrono::seconds(7);
    RetryPolicy retries;
    AccessPolicy access;
    QuotaPolicy quota;
    bool hasQuotaPolicy =
        false; ///< then usage snapshots are kept in the store; see quota/UsageSnapshot.h
    LeaseTiming lease;
    EngineWeights weights;
    PlacementSettings placement;
    /** Bytes held of an answer before its caller gets them: a body, or an event of a stream. */
    std::size_t maxHeldAnswerBytes = 256UL * 1024;
    /** What the process may use; callers get a part of it, see ConnectionLedger.h. */
    VmResources resources;
    int logLinesPerSecond = 40; ///< limit for each kind of event

    bool operator==(const GatewaySettings &) const = default;
};

/** Parses settings; each unknown key is a problem that names the most similar known key. */
Parsed<GatewaySettings> parseGatewaySettings(std::string_view json);

/** The addresses at which a gateway with these settings listens. */
std::vector<Endpoint> listenEndpoints(const GatewaySettings &settings);

/** True if the text holds settings of a gateway, not those of the daemon with adapter owners. */
bool isGatewaySettings(std::string_view json);

} // namespace monsoonbay
