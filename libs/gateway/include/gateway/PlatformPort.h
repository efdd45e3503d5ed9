#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include "gateway/GatewaySettings.h"
#include "quota/UsageSnapshot.h"
#include "serving/AdapterScheduler.h"
#include "serving/CallMetadata.h"
#include "serving/PartitionLease.h"
#include "serving/ServingConfig.h"
#include "serving/TargetEntry.h"
#include "transport/HttpClient.h"

namespace monsoonbay {

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

/** Another VM of the system, as it is registered in the store. */
struct PlatformVm
{
    std::string name;
    Endpoint peers;
    std::string zone;
    double capacity = 0;

    auto operator<=>(const PlatformVm &) const = default;
};

/** What a VM persists in the store for its next boot. */
struct OwnRecord
{
    std::int64_t bootCount = 0; ///< number of boots so far

    auto operator<=>(const OwnRecord &) const = default;
};

/** Properties of a configuration document that the reader of the store needs. */
struct ConfigProperties
{
    std::int64_t version = 0;
    bool hasKeys = false; ///< calls need API keys

    auto operator<=>(const ConfigProperties &) const = default;
};

/** Callbacks for what the platform's feeds deliver. All run on the gateway's thread. */
struct PlatformSink
{
    /** A configuration document was read; returns nothing if it cannot be parsed. */
    std::function<asio::awaitable<std::optional<ConfigProperties>>(std::string document)> config;
    /** A read that began at `readBegan` found no configuration newer than `version`. */
    std::function<void(std::int64_t version, Instant readBegan)> configConfirmed;
    std::function<void(std::string adapter, std::int64_t version)> adapterVersion;
    std::function<void()> listRead; ///< the target list was read; its changes follow
    std::function<void(TargetEntry)> target;
    std::function<void(std::string id)> targetRemoved;
    /** The complete list, and the ids whose entries exist but cannot be parsed. */
    std::function<void(std::vector<TargetEntry>, const std::vector<std::string> &)> fullTargetList;
    /** The document stored under `key` does not have the platform's format. */
    std::function<void(std::string_view what, const std::string &key)> unreadable;
    std::function<void()> listFailed; ///< an attempt to read the list failed
    std::function<void(PlatformVm)> peer; ///< another VM of the system
    /** Usage snapshots; called before the first `peersRead` unless one cannot be read. */
    std::function<void(std::vector<UsageSnapshot>)> usageSnapshots;
    /** The first read of the VMs' records: they show boots before those of a first start, or none.
     * Called before `usageSnapshots`. */
    std::function<void(bool seen)> earlierBoots;
    std::function<void()> peersRead; ///< `peer` was called for all VMs in the store's list
    /** True while this VM should read the configuration and the target list. */
    std::function<bool()> isReading;
    /** The same for the target list alone; a VM also reads it when its relay reports it late. */
    std::function<bool()> isReadingList;
    /** True if relays of other zones are reachable, which report what this VM reads late. */
    std::function<bool()> hasBackupRelays;
    /** This VM's own record in the store; its boot count includes the current boot. */
    std::function<void(OwnRecord)> ownRecord;
    std::function<void(bool reachable, std::string why)> storeReachable;
    /** An answer of the store is of this era; false if it must not be used. */
    std::function<bool(StoreEra)> storeEra;
    std::function<StoreEra()> newestStoreEra; ///< highest of all answers of the store
};

/** A command to load or unload an adapter or, without an adapter, a base model. */
struct EngineCommand
{
    bool load = true;
    std::string model;
    std::string adapter; ///< name without the model
    std::int64_t version = 0; ///< to load; 0: the newest
    /** The engine refuses the command if its sequence differs; below 0: not checked. */
    std::int64_t expectedSequence = -1;
    std::string holder;
    std::int64_t token = 0;

    auto operator<=>(const EngineCommand &) const = default;
};

enum class CommandOutcome : std::uint8_t {
    Accepted, ///< the engine is executing it
    Holds, ///< there was nothing to do, or it was done at once
    Busy, ///< another command is in progress, or the sequence differs
    Stale, ///< the engine has seen the token of a newer lease holder
    Invalid, ///< there is no such model, adapter or version
    Gone, ///< another target uses the address
    NotSent, ///< certainly not received by the engine
    Unknown, ///< may be executed, now or seconds later
};

/** Network address of an engine. */
struct EngineAddress
{
    std::string id;
    Endpoint endpoint;

    auto operator<=>(const EngineAddress &) const = default;
};

/** Request to renew a lease. */
struct LeaseRenewal
{
    std::string group;
    std::string member;
    std::int64_t generation = 0; ///< number of the last one received in this era; 0: none
    Duration ttl{};

    auto operator<=>(const LeaseRenewal &) const = default;
};

/** Result of a renewal. */
struct RenewalResult
{
    StoreEra era; ///< of the answer
    std::optional<LeaseGrant> grant; ///< empty: the store did not execute the request, or may not

    auto operator<=>(const RenewalResult &) const = default;
};

/** Partitions for which this VM records in the store that it is the lease holder. */
struct HolderClaims
{
    std::vector<int> partitions;
    LeaseGeneration generation;
    std::uint64_t end = 0; ///< end of the log of such records when it was read for these

    auto operator<=>(const HolderClaims &) const = default;
};

/** Result of recording this VM as lease holder. */
struct ClaimResult
{
    StoreEra era; ///< of the answer
    bool added = false; ///< the records were added

    auto operator<=>(const ClaimResult &) const = default;
};

/** The interface to a platform, implemented by a plug-in. */
struct PlatformPort
{
    std::string_view name;

    // Headers of calls and answers.
    CallMetadata (*readCallMetadata)(const RequestHead &);
    void (*writeSendMetadata)(RequestHead &, const SendMetadata &);
    AnswerMetadata (*readAnswerMetadata)(int status, const ResponseHead &);

    // Feeds; `follow` runs until the context stops.
    asio::awaitable<void> (*follow)(HttpClient &, const GatewaySettings &, PlatformSink);
    bool (*readConfig)(std::string_view document, ServingConfig &);

    // Engines.
    asio::awaitable<CommandOutcome> (*command)(HttpClient &, EngineAddress, EngineCommand,
                                               Duration);
    asio::awaitable<std::optional<EngineReport>> (*report)(HttpClient &, EngineAddress, Duration);

    // Probes of targets.
    /** Path of a GET that the service's targets answer at little cost; empty: there is none. */
    std::string (*probePath)(const ServiceSpec &);
    /** True if a target sent this answer to a probe, rather than something on the way to it. */
    bool (*isTargetAnswer)(const ResponseHead &, std::string_view body);

    // Leases in the store.
    asio::awaitable<RenewalResult> (*renew)(HttpClient &, const GatewaySettings &, LeaseRenewal,
                                            Duration);
    asio::awaitable<void> (*leave)(HttpClient &, const GatewaySettings &, LeaseRenewal, Duration);
    /** Reads, for each partition of the zone, which VM recorded itself last as lease holder. */
    asio::awaitable<std::optional<HolderRecords>> (*readHolderClaims)(HttpClient &,
                                                                      const GatewaySettings &);
    /**
     * Records this VM as lease holder, unless another record was added since that read.
     */
    asio::awaitable<ClaimResult> (*recordHolderClaims)(HttpClient &, const GatewaySettings &,
                                                       HolderClaims);

    /** Replaces the usage snapshot of this VM's zone; true if the store acknowledged it. */
    asio::awaitable<bool> (*writeUsageSnapshot)(HttpClient &, const GatewaySettings &,
                                                UsageSnapshot);
};

/** Registers a platform under its name; called by plug-ins before main. */
void registerPlatform(const PlatformPort &port);

/** Null if no platform has that name. */
const PlatformPort *findPlatform(std::string_view name);

/** Names of all platforms, for error messages. */
std::vector<std::string> platformNames();

} // namespace monsoonbay
