#include "ForwardedCall.h"
#include "json/UntrustedJson.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

namespace monsoonbay {

namespace {

using Json = nlohmann::json;

constexpr const char *callHeader = "Monsoonbay-Forwarded";
constexpr const char *refusalHeader = "Monsoonbay-Refusal";
constexpr const char *outcomeHeader = "Monsoonbay-Outcome";
constexpr const char *runsHeader = "Monsoonbay-Runs";
constexpr std::array allRefusals{ForwardRefusal::Malformed, ForwardRefusal::Stopping,
                                 ForwardRefusal::LinksLost, ForwardRefusal::ConfigMismatch,
                                 ForwardRefusal::Busy};
constexpr const char *endHeader = "Monsoonbay-End";
constexpr const char *softwareHeader = "Monsoonbay-Software";
constexpr std::string_view notRun = "not-run";
constexpr std::string_view mayHaveRun = "may-have-run";
constexpr std::string_view closeDelimited = "connection";

ForwardedCall parseCall(const Json &json)
{
    ForwardedCall call;
    call.configVersion = json.at("configVersion").get<std::int64_t>();
    call.service = json.at("service").get<std::string>();
    call.workspace = json.at("workspace").get<std::string>();
    if (json.contains("key"))
        call.key = KeyDigest{json["key"].get<std::array<std::uint64_t, 4>>()};
    call.units = json.at("units").get<std::int64_t>();
    call.callerAddress = json.at("callerAddress").get<std::string>();
    call.waited = std::chrono::milliseconds(json.at("waitedMs").get<std::int64_t>());
    call.runs = json.at("runs").get<int>();
    call.hasBody = json.at("hasBody").get<bool>();
    if (json.contains("origin"))
        call.origin = json["origin"].get<std::string>();
    return call;
}

} // namespace

std::string_view refusalName(ForwardRefusal refusal) noexcept
{
    switch (refusal) {
    case ForwardRefusal::None:
        return "none";
    case ForwardRefusal::Malformed:
        return "malformed";
    case ForwardRefusal::Stopping:
        return "stopping";
    case ForwardRefusal::LinksLost:
        return "links lost";
    case ForwardRefusal::ConfigMismatch:
        return "other configuration";
    case ForwardRefusal::Busy:
        return "busy";
    }
    return "";
}

void writeForwardRefusal(ResponseHead &head, ForwardRefusal refusal)
{
    head.set(refusalHeader, refusalName(refusal));
}

ForwardRefusal parseForwardRefusal(const ResponseHead &head)
{
    const auto value = head[refusalHeader];
    for (const ForwardRefusal refusal : allRefusals) {
        if (value == refusalName(refusal))
            return refusal;
    }
    return ForwardRefusal::None;
}

void writeForwardedCall(RequestHead &head, const ForwardedCall &call)
{
    Json json{{"configVersion", call.configVersion},
              {"service", call.service},
              {"workspace", call.workspace},
              {"units", call.units},
              {"callerAddress", call.callerAddress},
              {"waitedMs", toMillis(call.waited)},
              {"runs", call.runs},
              {"hasBody", call.hasBody}};
    if (call.key)
        json["key"] = call.key->words;
    if (call.origin)
        json["origin"] = *call.origin;
    // A header value must be ASCII; all else is escaped.
    head.set(callHeader, json.dump(-1, ' ', true));
}

std::optional<ForwardedCall> readForwardedCall(const RequestHead &head)
{
    const auto value = head[callHeader];
    const Json json = parseJson({value.data(), value.size()});
    try {
        return parseCall(json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

void eraseForwardedCall(RequestHead &head)
{
    head.erase(callHeader);
}

void writeForwardReport(ResponseHead &head, const ForwardReport &report)
{
    head.erase(outcomeHeader);
    if (report.outcome != ForwardOutcome::FromTarget)
        head.set(outcomeHeader, report.outcome == ForwardOutcome::NotRun ? notRun : mayHaveRun);
    head.set(runsHeader, std::to_string(report.runs));
    head.erase(endHeader);
    if (report.delimiter == BodyDelimiter::CloseDelimited)
        head.set(endHeader, closeDelimited);
    head.erase(softwareHeader);
    if (!report.software.empty())
        head.set(softwareHeader, report.software);
}

ForwardReport readForwardReport(const ResponseHead &head)
{
    ForwardReport report;
    const auto outcome = head[outcomeHeader];
    if (!outcome.empty())
        report.outcome = outcome == notRun ? ForwardOutcome::NotRun : ForwardOutcome::MayHaveRun;
    const auto runs = head[runsHeader];
    std::from_chars(runs.data(), runs.data() + runs.size(), report.runs);
    if (head[endHeader] == closeDelimited)
        report.delimiter = BodyDelimiter::CloseDelimited;
    report.software = std::string(head[softwareHeader]);
    return report;
}

} // namespace monsoonbay
