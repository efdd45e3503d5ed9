#include "observe/Events.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include "BoundedSink.h"
#include "core/Time.h"
#include "observe/EventLimiter.h"

namespace monsoonbay {

namespace {

constexpr std::array catalogue{
    EventRow{EventId::Started, "started", EventLevel::Info, "the daemon is listening", "none"},
    EventRow{EventId::Ready, "ready", EventLevel::Info, "the VM accepts requests", "none"},
    EventRow{EventId::NotReady, "not-ready", EventLevel::Warning,
             "no manifest is accepted yet, or the VM is shutting down; the load balancer should "
             "send it no requests",
             "publish a manifest; check that the log service or a peer can be reached"},
    EventRow{EventId::SettingsRefused, "settings-refused", EventLevel::Error,
             "the settings file is invalid or cannot be read",
             "correct the problems that were printed to stderr; if there are none, check the "
             "file's path and permissions"},
    EventRow{EventId::PortTaken, "port-taken", EventLevel::Warning,
             "another process has a port of this daemon, which waits until the port is free, for "
             "30 s at the most",
             "none if the process before this one is still ending; otherwise end the one that "
             "listens at the address, or correct the settings"},
    EventRow{EventId::FirstStartDenied, "first-start-denied", EventLevel::Warning,
             "the settings say that the whole system starts for the first time, but the store has "
             "records of earlier boots; the VM starts as after any other end",
             "set firstStart to false once the system has started"},
    EventRow{EventId::CallerLimitReached, "caller-limit-reached", EventLevel::Warning,
             "callers hold all memory or descriptors that they may; idle connections and "
             "incomplete calls are closed for others, and calls without room are refused",
             "look for callers that hold connections or send bodies without an end; see "
             "OPERATIONS.md, Callers that hold too much"},
    EventRow{EventId::CallerLimitLeft, "caller-limit-left", EventLevel::Info,
             "for some seconds no connection was closed for others; counts are since the start",
             "none"},
    EventRow{EventId::ShutdownBegun, "shutdown-begun", EventLevel::Info,
             "no new requests are accepted; those in flight are finished", "none"},
    EventRow{EventId::ShutdownDone, "shutdown-done", EventLevel::Info,
             "the shutdown is complete; no request was aborted", "none"},
    EventRow{EventId::ShutdownCut, "shutdown-cut", EventLevel::Error,
             "the shutdown timeout or a second signal aborted requests in flight",
             "raise shutdownSeconds; inform the callers of the requests that are counted here"},
    EventRow{EventId::MemberAlive, "member-alive", EventLevel::Info,
             "an entry VM is alive: it has joined, come back or restarted", "none"},
    EventRow{
        EventId::MemberSilent, "member-silent", EventLevel::Warning,
        "another VM did not answer; it is skipped until it does",
        "none if that VM was stopped; otherwise check its log and the links between the two VMs"},
    EventRow{EventId::RelayChanged, "relay-changed", EventLevel::Info,
             "this VM starts or stops reading the store on behalf of its zone", "none"},
    EventRow{EventId::UseMalformed, "use-malformed", EventLevel::Warning,
             "another VM reported an invalid demand by class for a workspace; all of it is counted "
             "in the last class",
             "compare the versions of the two VMs"},
    EventRow{EventId::MemberGone, "member-gone", EventLevel::Warning,
             "an entry VM answers none of the VMs that probed it, or has left",
             "check the VM and the links of its availability zone"},
    EventRow{
        EventId::VmListUnreadable, "vm-list-unreadable", EventLevel::Warning,
        "the platform's VM list cannot be read; the last one that was read stays in use",
        "check the platform; until the list can be read, new and leaving targets are not seen"},
    EventRow{EventId::TargetClaimed, "target-claimed", EventLevel::Info, "this VM owns the target",
             "none"},
    EventRow{EventId::TargetLost, "target-lost", EventLevel::Warning,
             "this VM no longer owns the target", "none if another VM has claimed it"},
    EventRow{
        EventId::TargetHandedOver, "target-handed-over", EventLevel::Info,
        "this VM releases the target, so that another VM can claim it before the lease expires",
        "none"},
    EventRow{EventId::TargetLeaving, "target-leaving", EventLevel::Info,
             "the target is leaving and gets no new requests", "none"},
    EventRow{EventId::StaleOrderRefused, "stale-order-refused", EventLevel::Warning,
             "the engine refused a command of this VM, as it knows a newer owner",
             "none if another VM has claimed the target"},
    EventRow{EventId::EngineRestarted, "engine-restarted", EventLevel::Warning,
             "the engine has restarted; none of its adapters is resident any more",
             "check the engine if this recurs"},
    EventRow{EventId::LogUnreachable, "log-unreachable", EventLevel::Warning,
             "the log service cannot be reached; manifests come from peers, and claims of targets "
             "are local to the zone",
             "check the platform's log service"},
    EventRow{EventId::LogReachable, "log-reachable", EventLevel::Info,
             "the log service can be reached again", "none"},
    EventRow{EventId::LoadOrdered, "load-ordered", EventLevel::Info,
             "an adapter is about to be loaded into a slot", "none"},
    EventRow{EventId::LoadDone, "load-done", EventLevel::Info, "the adapter is resident", "none"},
    EventRow{EventId::LoadFailed, "load-failed", EventLevel::Warning,
             "the engine could not load the adapter; further loads of it are delayed by a backoff",
             "check the weight store and the adapter's weights"},
    EventRow{EventId::LoadDeclined, "load-declined", EventLevel::Info,
             "the owner or lease holder of an engine did not accept a load: `reason` says why; if "
             "`retryInMs` is above 0, a load could begin after that time, and this VM does not ask "
             "again before",
             "none"},
    EventRow{EventId::CoordinatorChanged, "coordinator-changed", EventLevel::Info,
             "another VM grants the load permits from now on", "none"},
    EventRow{EventId::WrongAnswer, "wrong-answer", EventLevel::Error,
             "a target answered for another adapter or request; the answer was discarded",
             "drain the target and report it to the platform"},
    EventRow{EventId::ShortAnswer, "short-answer", EventLevel::Error,
             "a target ended an answer early; it was not passed on as complete",
             "check the target if this recurs"},
    EventRow{EventId::AnswerLost, "answer-lost", EventLevel::Warning,
             "the answer was lost after the request was sent; the request may have run",
             "check the target and the links to it"},
    EventRow{EventId::StreamResumed, "stream-resumed", EventLevel::Info,
             "a broken stream was resumed at the point where it broke", "none"},
    EventRow{EventId::ManifestAccepted, "manifest-accepted", EventLevel::Info,
             "a manifest is in force on this VM", "none"},
    EventRow{EventId::ManifestRejected, "manifest-rejected", EventLevel::Warning,
             "a published manifest was not accepted; the previous one stays in force",
             "run monsoonbayctl log for the reasons, correct the manifest and publish it again"},
    EventRow{EventId::ManifestSnapshot, "manifest-snapshot", EventLevel::Info,
             "the accepted manifest was appended to the log as a snapshot, so that the log's "
             "retention does not remove it",
             "none"},
    EventRow{EventId::ManifestFromPeer, "manifest-from-peer", EventLevel::Info,
             "manifest records were fetched from a peer instead of the log", "none"},
    EventRow{EventId::SettingsReloaded, "settings-reloaded", EventLevel::Info,
             "the settings file was read again", "none"},
    EventRow{EventId::TaskFailed, "task-failed", EventLevel::Error,
             "a background task of the gateway ended with an unexpected error",
             "report it with the log lines before it; restart the VM if it no longer serves"},
    EventRow{EventId::LinesLeftOut, "lines-left-out", EventLevel::Info,
             "more events of one kind occurred within a second than are written to the log",
             "raise logLinesPerSecond if they are needed"},
    EventRow{EventId::ConfigInForce, "config-in-force", EventLevel::Info,
             "a configuration is in force on this VM", "none"},
    EventRow{EventId::DocumentUnreadable, "document-unreadable", EventLevel::Error,
             "a document of the platform cannot be decoded; the previous one stays in force",
             "check what was written last; the metrics show the version in force"},
    EventRow{EventId::StoreUnreachable, "store-unreachable", EventLevel::Warning,
             "the metadata store does not answer; the data read before stays in use",
             "check the platform's store and the links of this VM"},
    EventRow{EventId::StoreReachable, "store-reachable", EventLevel::Info,
             "the metadata store answers", "none"},
    EventRow{EventId::ConfigRead, "config-read", EventLevel::Info,
             "a configuration was read from another VM or from the store; the fields give its size "
             "and where the time was spent",
             "none"},
    EventRow{EventId::ConfigUnread, "config-unread", EventLevel::Warning,
             "a VM with a newer configuration did not send the next part of it; this VM asks again "
             "later",
             "none if config-read follows; otherwise check the links between the two VMs"},
    EventRow{EventId::NewsSent, "news-sent", EventLevel::Info,
             "bytes of state updates that this relay sent in the last 5 s, by kind of update",
             "none"},
    EventRow{
        EventId::StoreRestored, "store-restored", EventLevel::Warning,
        "the store has come back from an older copy and lost what was written since; `era` and "
        "`before` are its eras, `partitions` and `commanded` how many this VM held and could "
        "send commands to when it noticed",
        "none; check the platform's store if it was not planned"},
    EventRow{EventId::StoreEraInvalid, "store-era-invalid", EventLevel::Error,
             "an answer of the store names an earlier era than answers before it, or none although "
             "these did; it is not used",
             "check the platform's store; this VM keeps what it knows"},
    EventRow{EventId::TargetListed, "target-listed", EventLevel::Info,
             "a target is new in the target list", "none"},
    EventRow{EventId::TargetGone, "target-gone", EventLevel::Info,
             "a target is no longer in the target list and gets no calls",
             "none if its removal was intended"},
    EventRow{EventId::TargetEjected, "target-ejected", EventLevel::Warning,
             "a target failed too often and gets no calls for a while",
             "check the target if this recurs"},
    EventRow{EventId::TargetRestarted, "target-restarted", EventLevel::Info,
             "a target has restarted under the same id; what was known about it is discarded",
             "check why it ended if this recurs"},
    EventRow{EventId::TargetEnded, "target-ended", EventLevel::Warning,
             "a target ended while it ran calls of this VM; the fields name them",
             "look for a call that several of these events have in common"},
    EventRow{
        EventId::TargetHeldBack, "target-held-back", EventLevel::Info,
        "a target refused a call and asked for a backoff; this VM sends it no calls for that time",
        "none; if most targets of a service do this, the service needs more of them"},
    EventRow{EventId::TargetLimited, "target-limited", EventLevel::Info,
             "a target has changed or removed the rate limit that it advertises for the calls of "
             "all VMs",
             "none; if most targets of a service do this, the service needs more of them"},
    EventRow{EventId::LeaseChanged, "lease-changed", EventLevel::Info,
             "the set of engines that this VM may send commands to has changed", "none"},
    EventRow{EventId::OrdersNoted, "orders-noted", EventLevel::Info,
             "this VM recorded in the store that it commands the engines of some partitions",
             "none; it sends no commands unless the record was added"},
    EventRow{EventId::OrdersWait, "orders-wait", EventLevel::Info,
             "this VM was assigned engines whose former lease holder may still send commands",
             "none; if a zone's loads stop for long, look whether `formerHolders` are VMs that are "
             "gone"},
    EventRow{EventId::OrderGiven, "order-given", EventLevel::Info,
             "a command to load or unload an adapter was sent to an engine", "none"},
    EventRow{EventId::AdapterMissing, "adapter-missing", EventLevel::Info,
             "an engine that this VM commands refused a call for an adapter that it should hold; "
             "`believed` is what this VM took it for (held, loading, not held), `expectedMs` the "
             "time that its load was expected to take, `waitedMs` how long ago it was commanded, "
             "`refused` the calls that the same load had refused so far",
             "none if it is rare; otherwise check the weight store and the engine"},
    EventRow{EventId::CallRefused, "call-refused", EventLevel::Warning,
             "a call was refused and has not run; if `forecastMs` is above 0, capacity was "
             "expected after that time",
             "check the reason and the log lines around it"},
    EventRow{EventId::CallFailed, "call-failed", EventLevel::Warning,
             "a call failed; it may have run", "look for call-bounced events of the same call"},
    EventRow{EventId::CallBounced, "call-bounced", EventLevel::Info,
             "an attempt at a target did not give the caller an answer; `cause` says why, "
             "`believedMs` how long this VM had taken the target to hold the adapter, `repeats`, "
             "`callsCounted` "
             "and `vmsCounted` say how much of the retry budget this VM has used, how many calls "
             "earn it and among how many VMs the slack is divided, `grantedFrom` (calls, slack) "
             "what the next attempt takes it from, `error` is the connection error, `othersGood` "
             "and `othersFailed` count, "
             "in tenths, how calls of other VMs ended there recently",
             "none if it is rare"},
    EventRow{EventId::CallForwarded, "call-forwarded", EventLevel::Info,
             "a call was offered to another VM, as this VM does not reach the targets; `refusal` "
             "says why it was not accepted",
             "none if links-lost reports a cut; otherwise check the links of this VM"},
    EventRow{
        EventId::LinksLost, "links-lost", EventLevel::Warning,
        "this VM does not reach the targets of a service that other VMs reach; its calls are "
        "forwarded to other VMs; of `listed` targets, `failed` had not answered a connect or a "
        "request, calls waited in vain at `silent` and had just received something from `heard`; "
        "of `probed` targets, `reached` answered and `silentProbes` said nothing in time",
        "check the links between this VM and the targets"},
    EventRow{EventId::LinksFound, "links-found", EventLevel::Info,
             "the links to a service seemed lost and probes did not confirm it; fields as in "
             "links-lost",
             "none if it is rare"},
    EventRow{EventId::LinksBack, "links-back", EventLevel::Info,
             "this VM reaches the targets of a service again", "none"},
    EventRow{EventId::StreamCut, "stream-cut", EventLevel::Warning,
             "a stream to the caller was aborted after it had started",
             "look for call-bounced events of the same call"},
    EventRow{
        EventId::CallCancelled, "call-cancelled", EventLevel::Info,
        "a call ended before its answer was complete, as its caller had left or its time was "
        "over; `step` was under way then (accepting, placing, connecting, offering, running), "
        "`servedBy` is the target or VM of its latest attempt, `endedInMs` how long this VM "
        "still served it, `pastDeadlineMs` how long after its deadline it ended, "
        "`loopDelayMs` how late this VM last began a task that was due",
        "none if `endedInMs` and `pastDeadlineMs` are small; if `loopDelayMs` is large, the VM "
        "has too little processor time"},
    EventRow{EventId::StreamTakenUp, "stream-taken-up", EventLevel::Info,
             "a caller resumes a stream; `began` is the software version that began it, `knownBy` "
             "says how this VM knows; call-answered of the same call names the version of the "
             "target that continued it",
             "none; if the version is not known, the call is refused: check the links between VMs"},
    EventRow{
        EventId::CallAnswered, "call-answered", EventLevel::Info,
        "all of the answer that arrived was passed on to the caller; the fields say where the time "
        "was spent, `software` is the software version of the target, `resumes` the attempt that "
        "began a stream which the caller has resumed, `endShownBy` what showed that the target's "
        "answer was complete, `leftOver` how many bytes came after its last complete event",
        "none"},
    EventRow{EventId::CallOverLimit, "call-over-limit", EventLevel::Info,
             "a call was refused because of its workspace's limit; the fields give the usage known "
             "to this VM",
             "none if the workspace requests more than its limit; otherwise compare vmsInTouch and "
             "vmsKnown"},
    EventRow{EventId::SpendNoted, "spend-noted", EventLevel::Info,
             "a usage snapshot was written to the store: the usage of workspaces, and how much of "
             "it is permitted",
             "none"},
    EventRow{EventId::SpendNoteFailed, "spend-note-failed", EventLevel::Warning,
             "a usage snapshot was not acknowledged by the store; after 2 s without an "
             "acknowledgement, workspaces are held to half of their limits",
             "see store-unreachable; none if it is rare"},
    EventRow{EventId::UseCountedAtStart, "use-counted-at-start", EventLevel::Info,
             "after its start, this VM knows the usage from before it, from usage snapshots in the "
             "store or from another VM",
             "none"},
    EventRow{
        EventId::HarmfulCallTried, "harmful-call-tried", EventLevel::Info,
        "a call that would be refused as harmful is sent to one target, as only an answer clears "
        "it",
        "none; if targets end under such calls again and again, find their caller and fix them"},
    EventRow{
        EventId::CallFoundHarmful, "call-found-harmful", EventLevel::Error,
        "targets ended repeatedly under the same call; it is refused from now on",
        "find its caller by call-refused events with this reason, and fix the call or the target"},
};

struct LogSetup
{
    LogFormat format = LogFormat::Text;
    std::string vm;
    std::shared_ptr<spdlog::logger> logger;
    std::optional<EventLimiter> limiter; ///< none: every event is written
    std::mutex limiterMutex;
};

LogSetup &setup()
{
    static LogSetup instance;
    return instance;
}

spdlog::level::level_enum levelOf(EventLevel level)
{
    if (level == EventLevel::Error)
        return spdlog::level::err;
    return level == EventLevel::Warning ? spdlog::level::warn : spdlog::level::info;
}

} // namespace

std::span<const EventRow> eventCatalogue() noexcept
{
    return catalogue;
}

const EventRow *findEvent(EventId id) noexcept
{
    const auto found = std::find_if(catalogue.begin(), catalogue.end(),
                                    [id](const EventRow &row) { return row.id == id; });
    return found == catalogue.end() ? nullptr : &*found;
}

void setUpLogger(LogFormat format, std::string_view vm, spdlog::sink_ptr sink)
{
    LogSetup &log = setup();
    log.format = format;
    log.vm = vm;
    log.logger = std::make_shared<spdlog::logger>("monsoonbay", std::move(sink));
    const bool json = format == LogFormat::Json;
    log.logger->set_pattern(json ? "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}"
                                 : "%Y-%m-%dT%H:%M:%S.%eZ %L %v",
                            spdlog::pattern_time_type::utc);
}

void setUpLog(LogFormat format, std::string_view vm)
{
    setUpLogger(format, vm, std::make_shared<spdlog::sinks::stderr_sink_mt>());
}

void setUpLog(LogFormat format, std::string_view vm, int linesPerSecond)
{
    setUpLogger(format, vm, std::make_shared<BoundedSink>(STDOUT_FILENO));
    setup().limiter.emplace(linesPerSecond);
}

namespace {

std::string textOf(LogFormat format, std::string_view vm, const EventRow &row,
                   std::span<const EventField> fields)
{
    const auto number = static_cast<int>(row.id);
    if (format == LogFormat::Json) {
        nlohmann::ordered_json json{{"vm", vm}, {"event", number}, {"name", row.name}};
        for (const EventField &field : fields)
            json[std::string(field.name)] = field.value;
        const std::string text =
            json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        return text.substr(1, text.size() - 2);
    }
    std::string text =
        "E" + std::to_string(number) + " " + std::string(row.name) + " vm=" + std::string(vm);
    for (const EventField &field : fields)
        text += " " + std::string(field.name) + "=\"" + field.value + "\"";
    return text;
}

/** How many events of this kind were left out before it; nothing if it is left out itself. */
std::optional<std::uint64_t> admitted(LogSetup &log, EventId id)
{
    if (!log.limiter)
        return 0;
    const std::lock_guard guard(log.limiterMutex);
    return log.limiter->admit(id, BootClock::now());
}

void writeEvent(const LogSetup &log, const EventRow &row, std::span<const EventField> fields)
{
    log.logger->log(levelOf(row.level), "{}", textOf(log.format, log.vm, row, fields));
}

std::span<const EventField> spanOf(const std::initializer_list<EventField> &fields)
{
    return {fields.begin(), fields.size()};
}

/** Tells how many events of a kind were not written. */
void writeLeftOut(const LogSetup &log, const EventRow &row, std::uint64_t lines)
{
    const std::array<EventField, 2> fields{EventField{"of", std::string(row.name)},
                                           EventField{"lines", std::to_string(lines)}};
    writeEvent(log, *findEvent(EventId::LinesLeftOut), fields);
}

} // namespace

std::string eventText(LogFormat format, std::string_view vm, const EventRow &row,
                      std::initializer_list<EventField> fields)
{
    return textOf(format, vm, row, spanOf(fields));
}

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    logEvent(id, spanOf(fields));
}

void logEvent(EventId id, std::span<const EventField> fields)
{
    LogSetup &log = setup();
    const EventRow *row = findEvent(id);
    if (!log.logger || row == nullptr)
        return;
    const std::optional<std::uint64_t> leftOut = admitted(log, id);
    if (!leftOut)
        return;
    if (*leftOut > 0)
        writeLeftOut(log, *row, *leftOut);
    writeEvent(log, *row, fields);
}

} // namespace monsoonbay
