#include "observe/Events.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

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
    EventRow{EventId::LoadDeclined, "load-declined", EventLevel::Info,
             "the owner did not take the order: slot in use, lease lapsed or target gone", "none"},
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
};

struct LogSetup
{
    LogFormat format = LogFormat::Text;
    std::string vm;
    std::shared_ptr<spdlog::logger> logger;
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

void setUpLog(LogFormat format, std::string_view vm)
{
    LogSetup &log = setup();
    log.format = format;
    log.vm = vm;
    log.logger = std::make_shared<spdlog::logger>(
        "monsoonbay", std::make_shared<spdlog::sinks::stderr_sink_mt>());
    const bool json = format == LogFormat::Json;
    log.logger->set_pattern(json ? "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v}"
                                 : "%Y-%m-%dT%H:%M:%S.%eZ %L %v",
                            spdlog::pattern_time_type::utc);
}

std::string eventText(LogFormat format, std::string_view vm, const EventRow &row,
                      std::initializer_list<EventField> fields)
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

void logEvent(EventId id, std::initializer_list<EventField> fields)
{
    const LogSetup &log = setup();
    const EventRow *row = findEvent(id);
    if (!log.logger || row == nullptr)
        return;
    log.logger->log(levelOf(row->level), "{}", eventText(log.format, log.vm, *row, fields));
}

} // namespace monsoonbay
