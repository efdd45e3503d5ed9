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
    EventRow{EventId::Started, "started", EventLevel::Info, "the daemon listens", "none"},
    EventRow{EventId::Ready, "ready", EventLevel::Info, "requests are taken", "none"},
    EventRow{EventId::NotReady, "not-ready", EventLevel::Warning,
             "no accepted manifest, or shutting down; the balancer should send nothing here",
             "publish a manifest; check that the log or a peer can be reached"},
    EventRow{EventId::SettingsRefused, "settings-refused", EventLevel::Error,
             "the settings file has problems", "correct what the message names"},
    EventRow{EventId::ShutdownBegun, "shutdown-begun", EventLevel::Info,
             "no new requests are taken; those in flight are finished", "none"},
    EventRow{EventId::ShutdownDone, "shutdown-done", EventLevel::Info, "nothing was cut", "none"},
    EventRow{EventId::ShutdownCut, "shutdown-cut", EventLevel::Error,
             "the bound or a second signal ended requests in flight",
             "raise shutdownSeconds; tell the callers counted here"},
    EventRow{EventId::MemberAlive, "member-alive", EventLevel::Info, "an entry VM was heard",
             "none"},
    EventRow{EventId::MemberSilent, "member-silent", EventLevel::Warning,
             "another VM did not answer; it is passed over until it does",
             "none if that VM was stopped; else look at its log and the links between the two"},
    EventRow{EventId::RelayChanged, "relay-changed", EventLevel::Info,
             "this VM begins or ends to read the store for its zone", "none"},
    EventRow{EventId::UseMalformed, "use-malformed", EventLevel::Warning,
             "another VM told an invalid demand by class; all of it counts towards the last class",
             "compare the versions of the two VMs"},
    EventRow{EventId::MemberGone, "member-gone", EventLevel::Warning,
             "an entry VM is silent towards all who were asked, or left",
             "check the VM and the links of its availability zone"},
    EventRow{EventId::VmListUnreadable, "vm-list-unreadable", EventLevel::Warning,
             "the platform's VM list cannot be read; the last one stays in use",
             "check the platform; new and leaving targets are not seen until then"},
    EventRow{EventId::TargetClaimed, "target-claimed", EventLevel::Info, "this VM owns the target",
             "none"},
    EventRow{EventId::TargetLost, "target-lost", EventLevel::Warning,
             "this VM no longer owns the target", "none if another VM claimed it"},
    EventRow{EventId::TargetHandedOver, "target-handed-over", EventLevel::Info,
             "the target goes to another VM without waiting for the lease", "none"},
    EventRow{EventId::TargetLeaving, "target-leaving", EventLevel::Info,
             "the target gets nothing new", "none"},
    EventRow{EventId::StaleOrderRefused, "stale-order-refused", EventLevel::Warning,
             "the engine knows a newer owner than this VM", "none if another VM claimed it"},
    EventRow{EventId::EngineRestarted, "engine-restarted", EventLevel::Warning,
             "the engine came back cold; its residents are gone", "check the engine if it repeats"},
    EventRow{EventId::LogUnreachable, "log-unreachable", EventLevel::Warning,
             "the log service cannot be reached; manifests come from peers, claims are zone-local",
             "check the platform's log service"},
    EventRow{EventId::LogReachable, "log-reachable", EventLevel::Info, "the log is back", "none"},
    EventRow{EventId::LoadOrdered, "load-ordered", EventLevel::Info,
             "an adapter is to be loaded into a slot", "none"},
    EventRow{EventId::LoadDone, "load-done", EventLevel::Info, "the adapter is resident", "none"},
    EventRow{EventId::LoadFailed, "load-failed", EventLevel::Warning,
             "the engine could not load the adapter; it backs off",
             "check the weight store and the adapter's weights"},
    EventRow{
        EventId::LoadDeclined, "load-declined", EventLevel::Info,
        "the owner did not take the order: `reason` tells why; with `retryInMs` above 0 a load "
        "could begin then, and this VM does not ask before",
        "none"},
    EventRow{EventId::CoordinatorChanged, "coordinator-changed", EventLevel::Info,
             "another VM gives out the load permits from now on", "none"},
    EventRow{EventId::WrongAnswer, "wrong-answer", EventLevel::Error,
             "a target answered for another adapter or request; the answer was dropped",
             "drain the target and report it to the platform"},
    EventRow{EventId::ShortAnswer, "short-answer", EventLevel::Error,
             "a target ended an answer early; it was not passed off as whole",
             "check the target if it repeats"},
    EventRow{EventId::AnswerLost, "answer-lost", EventLevel::Warning,
             "the answer was lost after dispatch; the request may have run",
             "check the target and the links to it"},
    EventRow{EventId::StreamResumed, "stream-resumed", EventLevel::Info,
             "a broken stream was taken up where it broke", "none"},
    EventRow{EventId::ManifestAccepted, "manifest-accepted", EventLevel::Info,
             "a manifest is in force here", "none"},
    EventRow{EventId::ManifestRejected, "manifest-rejected", EventLevel::Warning,
             "a published manifest was not accepted; the former stays in force",
             "run monsoonbayctl log for the reasons, correct it and publish it again"},
    EventRow{EventId::ManifestSnapshot, "manifest-snapshot", EventLevel::Info,
             "the accepted state was put back on the log before retention takes it", "none"},
    EventRow{EventId::ManifestFromPeer, "manifest-from-peer", EventLevel::Info,
             "manifest records came from a peer instead of the log", "none"},
    EventRow{EventId::SettingsReloaded, "settings-reloaded", EventLevel::Info,
             "the settings file was read again", "none"},
    EventRow{EventId::TaskFailed, "task-failed", EventLevel::Error,
             "a part of the gateway ended by an error nobody expected",
             "report it with the lines before; restart the VM if it serves no more"},
    EventRow{EventId::LinesLeftOut, "lines-left-out", EventLevel::Info,
             "more events of a kind came in a second than are written",
             "raise logLinesPerSecond if they are needed"},
    EventRow{EventId::ConfigInForce, "config-in-force", EventLevel::Info,
             "a configuration is in force here", "none"},
    EventRow{EventId::DocumentUnreadable, "document-unreadable", EventLevel::Error,
             "a document of the platform cannot be read; the former stays in force",
             "check what was written last; the version that is in force is in the metrics"},
    EventRow{EventId::StoreUnreachable, "store-unreachable", EventLevel::Warning,
             "the metadata store does not answer; what is known stays in use",
             "check the platform's store and the VM's links"},
    EventRow{EventId::StoreReachable, "store-reachable", EventLevel::Info,
             "the metadata store answers", "none"},
    EventRow{EventId::ConfigRead, "config-read", EventLevel::Info,
             "a configuration came from another VM; its length, and where its time went", "none"},
    EventRow{EventId::ConfigUnread, "config-unread", EventLevel::Warning,
             "a VM with a newer configuration did not give the next part; it is asked again",
             "none if config-read follows; else look at the links between the two VMs"},
    EventRow{EventId::NewsSent, "news-sent", EventLevel::Info,
             "bytes that this relay has sent since its last such line, by kind of news", "none"},
    EventRow{EventId::TargetListed, "target-listed", EventLevel::Info, "a target is in the list",
             "none"},
    EventRow{EventId::TargetGone, "target-gone", EventLevel::Info,
             "a target is no longer in the list and gets nothing", "none if it was to go"},
    EventRow{EventId::TargetEjected, "target-ejected", EventLevel::Warning,
             "a target fails too much and gets nothing for a while",
             "check the target if it repeats"},
    EventRow{EventId::TargetRestarted, "target-restarted", EventLevel::Info,
             "a target was started anew under its id; all that was believed of it is dropped",
             "check why it ended if it repeats"},
    EventRow{EventId::TargetEnded, "target-ended", EventLevel::Warning,
             "a target ended while it ran calls of this VM; the fields tell which",
             "look for a call that several such lines have in common"},
    EventRow{EventId::TargetHeldBack, "target-held-back", EventLevel::Info,
             "a target refused a call and named a time; it gets nothing of this VM until then",
             "none; if most targets of a service do, it needs more of them"},
    EventRow{EventId::TargetLimited, "target-limited", EventLevel::Info,
             "a target names another limit than before for the calls of all VMs, or none any more",
             "none; if most targets of a service do, it needs more of them"},
    EventRow{EventId::LeaseChanged, "lease-changed", EventLevel::Info,
             "this VM may order other engines than before", "none"},
    EventRow{EventId::OrdersNoted, "orders-noted", EventLevel::Info,
             "this VM noted in the store that it orders the engines of some partitions",
             "none; without an added note it gives no orders"},
    EventRow{EventId::OrderGiven, "order-given", EventLevel::Info,
             "an engine was told to load or unload an adapter", "none"},
    EventRow{
        EventId::CallRefused, "call-refused", EventLevel::Warning,
        "a call was refused; it has not run; `forecastMs` above 0 is when a place was expected",
        "look at the reason and the lines around it"},
    EventRow{EventId::CallFailed, "call-failed", EventLevel::Warning,
             "a call failed; it may have run", "look for call-bounced with the same call"},
    EventRow{EventId::CallBounced, "call-bounced", EventLevel::Info,
             "a send to a target did not end in an answer for the caller; `repeats` and "
             "`vmsCounted` tell what this VM has used of the retry budget and among how many it "
             "divides it, `error` what the connection came to, `othersGood` and `othersFailed` in "
             "tenths how calls of other VMs ended there lately",
             "none if it is rare"},
    EventRow{EventId::CallForwarded, "call-forwarded", EventLevel::Info,
             "a call was offered to another VM, as this one does not reach the targets; `refusal` "
             "tells why it was not taken",
             "none if links-lost tells of a cut; else look at the links of this VM"},
    EventRow{EventId::LinksLost, "links-lost", EventLevel::Warning,
             "this VM does not reach the targets of a service that others reach; its calls go by "
             "other VMs",
             "look at the links between this VM and the targets"},
    EventRow{EventId::LinksBack, "links-back", EventLevel::Info,
             "this VM reaches the targets of a service again", "none"},
    EventRow{EventId::StreamCut, "stream-cut", EventLevel::Warning,
             "a stream was broken off after it had begun",
             "look for call-bounced with the same call"},
    EventRow{EventId::StreamTakenUp, "stream-taken-up", EventLevel::Info,
             "a caller takes a stream up again; `began` is the version of software that began it, "
             "`knownBy` how this VM knows; call-answered of the same call names that of the target "
             "it went on at",
             "none; where it is not known the call is refused: look at the links between VMs"},
    EventRow{EventId::CallAnswered, "call-answered", EventLevel::Info,
             "the caller has all that came of its answer; the fields tell where its time went, "
             "`software` the version of the target's software, `resumes` the attempt that began a "
             "stream which the caller has taken up, `endShownBy` what showed that the target's "
             "answer was whole, `leftOver` how many bytes came after its last whole event",
             "none"},
    EventRow{EventId::CallOverLimit, "call-over-limit", EventLevel::Info,
             "a call was refused for its workspace's limit; the fields tell what was known",
             "none if it asks for more than its limit; else compare vmsInTouch, vmsKnown"},
    EventRow{EventId::SpendNoted, "spend-noted", EventLevel::Info,
             "the use of workspaces was noted in the store, and how much of it is permitted",
             "none"},
    EventRow{EventId::SpendNoteFailed, "spend-note-failed", EventLevel::Warning,
             "a note of the use of workspaces was not acknowledged; after 2 s without one, "
             "workspaces are held to half of their limits",
             "see store-unreachable; none if it is rare"},
    EventRow{EventId::UseCountedAtStart, "use-counted-at-start", EventLevel::Info,
             "a VM that has started knows what to count as used before, by notes of the store or "
             "of another VM",
             "none"},
    EventRow{EventId::CallFoundHarmful, "call-found-harmful", EventLevel::Error,
             "targets ended under the same call again and again; it is refused from now on",
             "find its caller by call-refused with this reason, and mend the call or the target"},
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
