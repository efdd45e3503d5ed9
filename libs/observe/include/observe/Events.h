#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace monsoonbay {

/** Events that the daemon logs; docs/EVENTS.md documents each. Numbers are never reused. */
enum class EventId : std::uint16_t {
    Started = 1001,
    Ready = 1002,
    NotReady = 1003,
    SettingsRefused = 1004,
    PortTaken = 1005,
    FirstStartDenied = 1006,
    CallerLimitReached = 1007,
    CallerLimitLeft = 1008,
    ShutdownBegun = 1010,
    ShutdownDone = 1011,
    ShutdownCut = 1012,
    MemberAlive = 2001,
    MemberGone = 2002,
    MemberSilent = 2004,
    RelayChanged = 2005,
    UseMalformed = 2006,
    VmListUnreadable = 2003,
    TargetClaimed = 3001,
    TargetLost = 3002,
    TargetHandedOver = 3003,
    TargetLeaving = 3004,
    StaleOrderRefused = 3005,
    EngineRestarted = 3006,
    LogUnreachable = 3010,
    LogReachable = 3011,
    LoadOrdered = 4001,
    LoadDone = 4002,
    LoadFailed = 4003,
    LoadDeclined = 4004,
    CoordinatorChanged = 4010,
    WrongAnswer = 5001,
    ShortAnswer = 5002,
    AnswerLost = 5003,
    StreamResumed = 5004,
    ManifestAccepted = 6001,
    ManifestRejected = 6002,
    ManifestSnapshot = 6003,
    ManifestFromPeer = 6004,
    SettingsReloaded = 7001,
    TaskFailed = 7002,
    LinesLeftOut = 7003,
    ConfigInForce = 7010,
    DocumentUnreadable = 7011,
    StoreUnreachable = 7012,
    StoreReachable = 7013,
    ConfigRead = 7014,
    ConfigUnread = 7015,
    NewsSent = 7016,
    StoreRestored = 7017,
    StoreEraInvalid = 7018,
    TargetListed = 7020,
    TargetGone = 7021,
    TargetEjected = 7022,
    TargetRestarted = 7024,
    TargetEnded = 7025,
    TargetHeldBack = 7026,
    TargetLimited = 7027,
    LinksLost = 7028,
    LinksBack = 7029,
    LeaseChanged = 7030,
    OrderGiven = 7031,
    OrdersNoted = 7032,
    AdapterMissing = 7033,
    LinksFound = 7034,
    OrdersWait = 7035,
    CallRefused = 7040,
    CallFailed = 7041,
    CallBounced = 7042,
    StreamCut = 7043,
    CallAnswered = 7044,
    CallFoundHarmful = 7045,
    CallOverLimit = 7046,
    CallForwarded = 7047,
    StreamTakenUp = 7048,
    CallCancelled = 7049,
    SpendNoted = 7050,
    SpendNoteFailed = 7051,
    UseCountedAtStart = 7052,
    HarmfulCallTried = 7053,
};

enum class EventLevel : std::uint8_t { Info, Warning, Error };

/** An entry of the event catalogue. */
struct EventRow
{
    EventId id;
    std::string_view name;
    EventLevel level;
    std::string_view meaning;
    std::string_view remedy;
};

std::span<const EventRow> eventCatalogue() noexcept;
const EventRow *findEvent(EventId id) noexcept;

/** A named value of an event. Never a token, a prompt or an answer. */
struct EventField
{
    std::string_view name;
    std::string value;
};

enum class LogFormat : std::uint8_t { Text, Json };

/** Sets up logging to standard error; `vm` is written with each event. */
void setUpLog(LogFormat format, std::string_view vm);

/**
 * Sets up logging to standard output, with at most `linesPerSecond` events of each kind; a line
 * reports how many were left out. If the reader of standard output is slow, lines are dropped; they
 * never block the daemon.
 */
void setUpLog(LogFormat format, std::string_view vm, int linesPerSecond);

/** Writes an event to the log, unless logging is not set up or the rate limit is exceeded. */
void logEvent(EventId id, std::initializer_list<EventField> fields);
void logEvent(EventId id, std::span<const EventField> fields);

/** The text of the line that logEvent() writes, without the time. */
std::string eventText(LogFormat format, std::string_view vm, const EventRow &row,
                      std::initializer_list<EventField> fields);

} // namespace monsoonbay
