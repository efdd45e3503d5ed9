#include "core/Error.h"

#include <algorithm>
#include <array>

namespace monsoonbay {

namespace {

struct ErrorRow
{
    ErrorKind kind;
    std::string_view name;
    std::string_view message;
    int httpStatus;
    bool notRun;
};

constexpr std::array errorRows{
    ErrorRow{ErrorKind::Ok, "ok", "no error", 200, false},
    ErrorRow{ErrorKind::BadRequest, "bad-request",
             "the request is malformed; correct it as the detail says", 400, true},
    ErrorRow{ErrorKind::Unauthorized, "unauthorized",
             "unknown service token; send the token of a service in the manifest", 401, true},
    ErrorRow{ErrorKind::Forbidden, "forbidden",
             "this service has no permission for that; add it to the manifest", 403, true},
    ErrorRow{
        ErrorKind::UnknownAdapter, "unknown-adapter",
        "the manifest in force has no such adapter and version; publish it or correct the name",
        404, true},
    ErrorRow{ErrorKind::UnknownService, "unknown-service",
             "no plain service has this path; correct the path or publish the service", 404, true},
    ErrorRow{ErrorKind::TooLarge, "too-large", "the request is too large; send a smaller one", 413,
             true},
    ErrorRow{ErrorKind::Overloaded, "overloaded",
             "the queues are full; retry after the delay in Retry-After", 503, true},
    ErrorRow{
        ErrorKind::StoreSaturated, "store-saturated",
        "the adapter cannot be loaded before the deadline; retry after the delay in Retry-After",
        503, true},
    ErrorRow{ErrorKind::NoTarget, "no-target",
             "no reachable target can serve this request; check monsoonbayctl status", 503, true},
    ErrorRow{ErrorKind::NotResident, "not-resident",
             "the adapter is not resident on that target; query the directory again", 503, true},
    ErrorRow{ErrorKind::NotOwner, "not-owner",
             "this VM does not own that target; send the request to the owner in the directory",
             503, true},
    ErrorRow{ErrorKind::LeaseExpired, "lease-lapsed",
             "the owner could not renew its lease; the next owner will serve the request", 503,
             true},
    ErrorRow{ErrorKind::TargetLeaving, "target-leaving",
             "the target accepts no new work; another target will serve the request", 503, true},
    ErrorRow{ErrorKind::ShuttingDown, "shutting-down",
             "this VM is shutting down; send the request again through the balancer", 503, true},
    ErrorRow{ErrorKind::NotReady, "not-ready",
             "this VM has no accepted manifest yet; send the request to another VM", 503, true},
    ErrorRow{ErrorKind::DeadlinePassed, "deadline-passed",
             "the deadline passed before the request was dispatched; set a longer deadline", 504,
             true},
    ErrorRow{ErrorKind::KeyStateUnknown, "key-unknowable",
             "whether a request with this key ran is unknown; retry after the delay in Retry-After",
             503, true},
    ErrorRow{ErrorKind::KeyInUse, "key-in-use",
             "a request with this key is running; wait for its answer, this retry did not run", 409,
             true},
    ErrorRow{ErrorKind::KeyConflict, "key-conflict",
             "this key was used for a different request; use a new key", 422, true},
    ErrorRow{ErrorKind::LoadFailed, "load-failed",
             "loading the adapter failed; retry after the delay in Retry-After", 503, true},
    ErrorRow{ErrorKind::StaleToken, "stale-token",
             "the target knows a newer owner, which will serve the request", 503, true},
    ErrorRow{ErrorKind::MayHaveRun, "may-have-run",
             "the answer was lost after dispatch; check the effect before retrying", 502, false},
    ErrorRow{ErrorKind::WrongAnswer, "wrong-answer",
             "the target answered for another adapter or request; the answer was discarded", 502,
             false},
    ErrorRow{ErrorKind::BrokenStream, "broken-stream",
             "the answer was cut off and could not be resumed; it is incomplete", 502, false},
    ErrorRow{ErrorKind::PeerUnreachable, "peer-unreachable",
             "the owner VM is unreachable; another VM will take over", 503, true},
    ErrorRow{ErrorKind::CallerGone, "caller-gone", "the caller closed its connection", 499, false},
};

const ErrorRow &rowOf(ErrorKind kind) noexcept
{
    return errorRows[static_cast<std::size_t>(kind)];
}

class Category final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "monsoonbay";
    }

    std::string message(int code) const override
    {
        const bool known = code >= 0 && static_cast<std::size_t>(code) < errorRows.size();
        return known ? std::string(errorRows[static_cast<std::size_t>(code)].message)
                     : "unknown error; report it";
    }
};

} // namespace

const std::error_category &errorCategory() noexcept
{
    static const Category category;
    return category;
}

std::string_view errorName(ErrorKind kind) noexcept
{
    return rowOf(kind).name;
}

bool meansNotRun(ErrorKind kind) noexcept
{
    return rowOf(kind).notRun;
}

int httpStatusOf(ErrorKind kind) noexcept
{
    return rowOf(kind).httpStatus;
}

} // namespace monsoonbay
