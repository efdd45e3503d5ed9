#pragma once

#include <string>
#include <system_error>

namespace monsoonbay {

/** Results of a request or command. The message of each kind says what to do about it. */
enum class ErrorKind {
    Ok = 0,
    BadRequest,
    Unauthorized,
    Forbidden,
    UnknownAdapter,
    UnknownService,
    TooLarge,
    Overloaded,
    StoreSaturated,
    NoTarget,
    NotResident,
    NotOwner,
    LeaseExpired,
    TargetLeaving,
    ShuttingDown,
    NotReady,
    DeadlinePassed,
    KeyStateUnknown,
    KeyInUse,
    KeyConflict,
    LoadFailed,
    StaleToken,
    MayHaveRun,
    WrongAnswer,
    BrokenStream,
    PeerUnreachable,
    CallerGone,
};

/** How a request ended for its caller. */
enum class Ending {
    Answered, ///< the complete answer was delivered once
    Refused, ///< it did not run
    Failed, ///< it ran, or may have run
};

const std::error_category &errorCategory() noexcept;

inline std::error_code make_error_code(ErrorKind kind) noexcept
{
    return {static_cast<int>(kind), errorCategory()};
}

/** Stable short name of a kind, used in problem documents and metrics. */
std::string_view errorName(ErrorKind kind) noexcept;

/** True if this kind implies that the request did not run. */
bool meansNotRun(ErrorKind kind) noexcept;

/** HTTP status sent to the caller for this kind. */
int httpStatusOf(ErrorKind kind) noexcept;

} // namespace monsoonbay

template <> struct std::is_error_code_enum<monsoonbay::ErrorKind> : std::true_type
{ };
