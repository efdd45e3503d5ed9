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

/** Another VM of the system, as it made itself known in the store. */
struct PlatformVm
{
    std::string name;
    Endpoint peers;
    std::string zone;
    double capacity = 0;

    auto operator<=>(const PlatformVm &) const = default;
};

/** What a VM keeps in the store for its next boot. */
struct OwnRecord
{
    std::int64_t bootCount = 0; ///< boots so far

    auto operator<=>(const OwnRecord &) const = default;
};

/** What a configuration document holds, as far as it matters to whoever reads the store. */
struct ConfigFacts
{
    std::int64_t version = 0;
    bool hasKeys = false; ///< calls need keys

    auto operator<=>(const ConfigFacts &) const = default;
};

/** What the platform's feeds tell the gateway. All are called on the gateway's thread. */
struct PlatformSink
{
    /** A configuration document; nothing if it cannot be read. */
    std::function<asio::awaitable<std::optional<ConfigFacts>>(std::string document)> config;
    /** A read that began then found no configuration newer than that version. */
    std::function<void(std::int64_t version, Instant readBegan)> configConfirmed;
    std::function<void(std::string adapter, std::int64_t version)> adapterVersion;
    std::function<void()> listRead; ///< before the changes of each read of the list
    std::function<void(TargetEntry)> target;
    std::function<void(std::string id)> targetRemoved;
    /** Also the ids whose entries cannot be read: these are there, but tell nothing. */
    std::function<void(std::vector<TargetEntry>, const std::vector<std::string> &)> wholeList;
    /** A document that is not as the platform writes it; `key` names it. */
    std::function<void(std::string_view what, const std::string &key)> unreadable;
    std::function<void()> listFailed; ///< an attempt to read the list failed
    std::function<void(PlatformVm)> peer; ///< another VM of the system
    /** Before the first `peersRead`, unless a note cannot be read. */
    std::function<void(std::vector<UsageSnapshot>)> spendNotes;
    std::function<void()> peersRead; ///< all VMs in the store's list have been told
    /** True while this VM is to read configuration and targets. */
    std::function<bool()> isReading;
    /** The same for the list of targets, which a VM also reads that is told of it late. */
    std::function<bool()> isReadingList;
    /** True if relays of other zones are heard who would tell what this VM reads late. */
    std::function<bool()> hasBackupRelays;
    /** What this VM has noted in the store, this boot counted. */
    std::function<void(OwnRecord)> ownRecord;
    std::function<void(bool reachable, std::string why)> storeReachable;
};

/** An order to load or unload an adapter. */
struct EngineCommand
{
    bool load = true;
    std::string model;
    std::string adapter; ///< name without the model
    std::int64_t version = 0; ///< to load; 0: the newest
    std::int64_t expectedSequence = -1; ///< refused if the engine counts otherwise; below 0: any
    std::string holder;
    std::int64_t token = 0;

    auto operator<=>(const EngineCommand &) const = default;
};

enum class CommandOutcome : std::uint8_t {
    Accepted, ///< it is being carried out
    Holds, ///< it was so already, or was done at once
    Busy, ///< another order is in progress, or the sequence differs
    Stale, ///< the engine knows a newer holder
    Invalid, ///< there is no such model, adapter or version
    Gone, ///< another target has the address
    NotSent, ///< certainly not received
    Unknown, ///< may be carried out, now or seconds later
};

/** Where an engine is reached. */
struct EngineAddress
{
    std::string id;
    Endpoint endpoint;

    auto operator<=>(const EngineAddress &) const = default;
};

/** Renewal of a lease: no grant if the store did not answer it. */
struct LeaseRenewal
{
    std::string group;
    std::string member;
    std::int64_t generation = 0;
    Duration ttl{};

    auto operator<=>(const LeaseRenewal &) const = default;
};

/** Partitions that this VM notes it orders. */
struct HolderClaims
{
    std::vector<int> partitions;
    std::int64_t generation = 0;
    std::uint64_t end = 0; ///< of the read that they rest on

    auto operator<=>(const HolderClaims &) const = default;
};

/** All that the gateway needs of a platform; a plug-in fills it in. */
struct PlatformPort
{
    std::string_view name;

    // What callers and targets speak.
    CallMetadata (*readCall)(const RequestHead &);
    void (*writeSend)(RequestHead &, const SendMetadata &);
    AnswerMetadata (*readAnswer)(int status, const ResponseHead &);

    // Feeds; each runs until the context stops.
    asio::awaitable<void> (*follow)(HttpClient &, const GatewaySettings &, PlatformSink);
    bool (*readConfig)(std::string_view document, ServingConfig &);

    // Engines.
    asio::awaitable<CommandOutcome> (*order)(HttpClient &, EngineAddress, EngineCommand, Duration);
    asio::awaitable<std::optional<EngineReport>> (*report)(HttpClient &, EngineAddress, Duration);

    // Leases in the store.
    asio::awaitable<std::optional<LeaseGrant>> (*renew)(HttpClient &, const GatewaySettings &,
                                                        LeaseRenewal, Duration);
    asio::awaitable<void> (*leave)(HttpClient &, const GatewaySettings &, LeaseRenewal, Duration);
    /** Reads who noted last, by partition of the zone, that it orders the engines there. */
    asio::awaitable<std::optional<HolderRecords>> (*readHolderClaims)(HttpClient &,
                                                                      const GatewaySettings &);
    /** Notes that this VM does; only if no note was added since that read. True if it was added. */
    asio::awaitable<bool> (*recordHolderClaims)(HttpClient &, const GatewaySettings &,
                                                HolderClaims);

    /** Replaces the spend note of this VM's zone; true if the store acknowledged it. */
    asio::awaitable<bool> (*writeUsageSnapshot)(HttpClient &, const GatewaySettings &,
                                                UsageSnapshot);
};

/** Makes a platform known under its name; called by plug-ins before main. */
void registerPlatform(const PlatformPort &port);

/** Null if no platform has that name. */
const PlatformPort *findPlatform(std::string_view name);

/** Names of all platforms, for error messages. */
std::vector<std::string> platformNames();

} // namespace monsoonbay
