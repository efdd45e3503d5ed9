#include "Commands.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "Client.h"
#include "config/Acceptance.h"
#include "json/UntrustedJson.h"

namespace monsoonbay::ctl {

namespace {

using Json = nlohmann::json;

constexpr auto pollInterval = std::chrono::milliseconds(200);

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<Json> queryVm(const Endpoint &vm, const std::string &path)
{
    const HttpResult result = sendGet(vm, path);
    if (!result.ok())
        return std::nullopt;
    Json json = parseJson(result.body);
    if (json.is_discarded())
        return std::nullopt;
    return json;
}

std::optional<Json> queryFirst(const CommandOptions &options, const std::string &path)
{
    for (const Endpoint &vm : options.vms) {
        if (std::optional<Json> json = queryVm(vm, path))
            return json;
    }
    std::cerr << "no entry VM answers; try another --vm ADDRESS:PORT (its operators' address)\n";
    return std::nullopt;
}

void printProblems(const std::string &file, const std::vector<Problem> &problems)
{
    for (const Problem &problem : problems)
        std::cerr << problem.text(file) << "\n";
}

/** The manifest in force on the first VM that answers. */
struct InForce
{
    Manifest manifest;
    ManifestMark mark;
};

std::optional<InForce> readInForce(const CommandOptions &options)
{
    const std::optional<Json> status = queryFirst(options, "/v1/status");
    if (!status)
        return std::nullopt;
    InForce inForce;
    const Json &mark = (*status)["manifest"];
    inForce.mark = ManifestMark{mark.value("offset", std::uint64_t{0}), mark.value("digest", "")};
    if (inForce.mark.offset == 0)
        return inForce;
    const std::optional<Json> manifest = queryFirst(options, "/v1/manifest");
    if (!manifest)
        return std::nullopt;
    inForce.manifest = parseManifest(manifest->dump()).value;
    return inForce;
}

/** The manifest that results from applying a document to the one in force. */
Parsed<Manifest> resultingManifest(const CommandOptions &options, const std::string &text,
                                   const Manifest &before)
{
    if (!options.delta)
        return parseManifest(text);
    const Parsed<ManifestDelta> delta = parseDelta(text);
    if (!delta.ok())
        return Parsed<Manifest>{{}, delta.problems};
    return applyDelta(before, delta.value);
}

void printTargets(const Json &targets)
{
    std::cout << "\n"
              << std::left << std::setw(24) << "TARGET" << std::setw(14) << "ZONE" << std::setw(24)
              << "OWNER" << std::setw(10) << "STATE" << std::setw(9) << "RUNNING"
              << "RESIDENT\n";
    for (const Json &target : targets) {
        const bool leaving = target.value("leaving", false);
        const bool usable = target.value("usable", false);
        std::cout << std::setw(24) << target.value("name", "") << std::setw(14)
                  << target.value("zone", "") << std::setw(24) << target.value("owner", "")
                  << std::setw(10)
                  << (leaving      ? "leaving"
                          : usable ? "usable"
                                   : "unusable")
                  << std::setw(9) << target.value("running", 0) << target["resident"].size() << "/"
                  << target.value("slots", 0) << "\n";
    }
}

/** Offset of the manifest in force on each VM; 0 for a VM that does not answer. */
std::vector<std::uint64_t> offsetsInForce(const CommandOptions &options)
{
    std::vector<std::uint64_t> offsets;
    for (const Endpoint &vm : options.vms) {
        const std::optional<Json> status = queryVm(vm, "/v1/status");
        offsets.push_back(status ? (*status)["manifest"].value("offset", std::uint64_t{0}) : 0);
    }
    return offsets;
}

std::uint64_t appendRecord(const CommandOptions &options, const std::string &body)
{
    const Json record{{"stream", "manifest"}, {"body", body}};
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/append";
    call.body = record.dump();
    const HttpResult result = sendCall(options.log, call);
    const Json reply = result.ok() ? parseJson(result.body) : Json();
    return valueOr(reply, "offset", std::uint64_t{0});
}

ExitCode exitCodeFor(const std::string &verdict)
{
    if (verdict == "accepted" || verdict == "duplicate")
        return ExitCode::Done;
    if (verdict == "conflict")
        return ExitCode::Conflict;
    return verdict == "dangerous" ? ExitCode::Dangerous : ExitCode::Invalid;
}

/** Waits for the verdict on the record at an offset; empty if none was given in time. */
std::optional<Json> awaitVerdict(const CommandOptions &options, std::uint64_t offset)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(options.waitSeconds);
    while (std::chrono::steady_clock::now() < until) {
        const std::optional<Json> verdicts = queryFirst(options, "/v1/verdicts");
        if (!verdicts)
            return std::nullopt;
        for (const Json &verdict : *verdicts) {
            if (verdict.value("offset", std::uint64_t{0}) == offset)
                return verdict;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return std::nullopt;
}

ExitCode awaitInForce(const CommandOptions &options, std::uint64_t offset)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(options.waitSeconds);
    std::size_t reached = 0;
    while (true) {
        const std::vector<std::uint64_t> offsets = offsetsInForce(options);
        reached = static_cast<std::size_t>(
            std::count_if(offsets.begin(), offsets.end(),
                          [offset](std::uint64_t held) { return held >= offset; }));
        std::cerr << "in force on " << reached << " of " << offsets.size() << " VMs\n";
        if (reached == offsets.size())
            return ExitCode::Done;
        if (std::chrono::steady_clock::now() >= until)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    for (const Endpoint &vm : options.vms) {
        const std::optional<Json> status = queryVm(vm, "/v1/status");
        if (!status)
            std::cerr << vm.text() << ": does not answer\n";
        else if ((*status)["manifest"].value("offset", std::uint64_t{0}) < offset)
            std::cerr << vm.text() << ": behind; it will catch up from the log or a peer\n";
    }
    return ExitCode::NotInForce;
}

void printVerdict(const Json &verdict)
{
    std::cout << verdict.value("offset", std::uint64_t{0}) << "  " << verdict.value("verdict", "")
              << "\n";
    for (const Json &problem : verdict["problems"])
        std::cout << "    " << problem.value("path", "") << ": " << problem.value("problem", "")
                  << "; " << problem.value("remedy", "") << "\n";
}

/** Prints `mark` and the name of each item whose name is not in `other`. */
template <typename T>
void printNames(const std::string &mark, const std::vector<T> &only, const std::vector<T> &other)
{
    for (const T &item : only) {
        const bool both = std::any_of(other.begin(), other.end(), [&item](const T &candidate) {
            return candidate.name == item.name;
        });
        if (!both)
            std::cout << mark << " " << item.name << "\n";
    }
}

/** Prints `mark` and each adapter that is not in `other`. */
void printAdapters(const std::string &mark, const AdapterTable &only, const AdapterTable &other)
{
    for (const AdapterEntry &entry : only.sorted()) {
        if (other.find(entry.ref.id()) == nullptr)
            std::cout << mark << " adapter " << entry.ref.text() << "\n";
    }
}

/** A document that was read and checked; its text if the code is Done. */
struct CheckedText
{
    ExitCode code = ExitCode::Done;
    std::string text;
};

CheckedText readChecked(const CommandOptions &options, const std::string &file)
{
    const std::optional<std::string> text = readFile(file);
    if (!text) {
        std::cerr << file << ": cannot be read; check its path and permissions\n";
        return {ExitCode::Usage, {}};
    }
    const std::vector<Problem> problems =
        options.delta ? parseDelta(*text).problems : parseManifest(*text).problems;
    printProblems(file, problems);
    if (!problems.empty())
        return {ExitCode::Invalid, {}};
    std::cout << file << ": ok\n";
    return {ExitCode::Done, *text};
}

/** A checked document and the manifest in force; only set if the code is Done. */
struct DocumentAndForce
{
    ExitCode code = ExitCode::Done;
    std::string text;
    InForce inForce;
};

DocumentAndForce readDocumentAndForce(const CommandOptions &options, const std::string &file)
{
    const CheckedText checked = readChecked(options, file);
    if (checked.code != ExitCode::Done)
        return {checked.code, {}, {}};
    const std::optional<InForce> inForce = readInForce(options);
    if (!inForce)
        return {ExitCode::Unreachable, {}, {}};
    return {ExitCode::Done, checked.text, *inForce};
}

} // namespace

ExitCode showStatus(const CommandOptions &options)
{
    const std::optional<Json> status = queryFirst(options, "/v1/status");
    if (!status)
        return ExitCode::Unreachable;
    if (options.json) {
        std::cout << status->dump(1) << "\n";
        return ExitCode::Done;
    }
    const Json &manifest = (*status)["manifest"];
    std::cout << "vm         " << status->value("vm", "") << " in " << status->value("zone", "")
              << (status->value("ready", false) ? ", ready" : ", NOT READY") << "\n"
              << "manifest   offset " << manifest.value("offset", std::uint64_t{0}) << ", "
              << manifest.value("adapters", 0) << " adapters, digest "
              << manifest.value("digest", "") << "\n"
              << "log        "
              << (status->value("logReachable", false) ? "reachable" : "UNREACHABLE") << "\n"
              << "permits    granted by " << status->value("coordinator", "") << "\n";
    std::cout << "\n"
              << std::left << std::setw(28) << "ENTRY VM" << std::setw(16) << "ZONE"
              << "STATE\n";
    for (const Json &member : (*status)["members"])
        std::cout << std::setw(28) << member.value("name", "") << std::setw(16)
                  << member.value("zone", "") << member.value("state", "") << "\n";
    printTargets((*status)["targets"]);
    if (options.vms.size() < 2)
        return ExitCode::Done;
    const std::vector<std::uint64_t> offsets = offsetsInForce(options);
    const std::uint64_t newest = *std::max_element(offsets.begin(), offsets.end());
    std::cout << "\n";
    for (std::size_t index = 0; index < offsets.size(); ++index) {
        if (offsets[index] < newest)
            std::cout << options.vms[index].text() << " is behind: offset " << offsets[index]
                      << " of " << newest << "\n";
    }
    return ExitCode::Done;
}

ExitCode explainAdapter(const CommandOptions &options, const std::string &adapter)
{
    if (parseAdapterRef(adapter).name.empty()) {
        std::cerr << "'" << adapter << "' is not adapter@version\n";
        return ExitCode::Usage;
    }
    std::optional<Json> explained = queryFirst(options, "/v1/explain?adapter=" + adapter);
    if (!explained)
        return ExitCode::Unreachable;
    if (options.json) {
        std::cout << explained->dump(1) << "\n";
        return ExitCode::Done;
    }
    const Json &answer = *explained;
    std::cout << adapter << "\n";
    if (!answer.value("inManifest", false))
        std::cout << "  is not in the manifest in force: refused as unknown-adapter\n";
    if (answer["holders"].empty())
        std::cout
            << "  is resident nowhere: a request waits for a load, or is refused if the load\n"
               "  cannot come before its deadline\n";
    for (const Json &holder : answer["holders"])
        std::cout << "  is resident on " << holder.value("target", "") << ", owned by "
                  << holder.value("owner", "") << "\n";
    if (answer["goesTo"].is_string())
        std::cout << "  a request arriving now goes to " << answer["goesTo"].get<std::string>()
                  << "\n";
    std::cout << std::setprecision(4) << "  waiting here " << answer.value("waitingHere", 0)
              << "; load permits are granted by " << answer.value("coordinator", "") << "\n";
    if (answer.value("coordinatorIsHere", false))
        std::cout << "  demand " << answer.value("requestsPerSecond", 0.0) << "/s (last 30 s "
                  << answer.value("fastRequestsPerSecond", 0.0) << "/s), waiting on all VMs "
                  << answer.value("waitingAll", 0) << ", a load takes "
                  << answer.value("loadSeconds", 0.0) << " s"
                  << (answer.value("backingOff", false) ? ", failed loads are backing off" : "")
                  << "\n";
    else
        std::cout << "  for demand and queue, use --vm with the operators' address of that VM\n";
    return ExitCode::Done;
}

ExitCode drainTarget(const CommandOptions &options, const std::string &target)
{
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/drain?target=" + target + (options.off ? "&on=false" : "");
    const HttpResult result = sendCall(options.vms.front(), call);
    if (result.error) {
        std::cerr << options.vms.front().text() << ": does not answer; try another --vm\n";
        return ExitCode::Unreachable;
    }
    (result.ok() ? std::cout : std::cerr) << result.body << "\n";
    return result.ok() ? ExitCode::Done : ExitCode::Invalid;
}

ExitCode showVerdicts(const CommandOptions &options)
{
    const std::optional<Json> verdicts = queryFirst(options, "/v1/verdicts");
    if (!verdicts)
        return ExitCode::Unreachable;
    if (options.json) {
        std::cout << verdicts->dump(1) << "\n";
        return ExitCode::Done;
    }
    for (const Json &verdict : *verdicts)
        printVerdict(verdict);
    return ExitCode::Done;
}

ExitCode checkDocument(const CommandOptions &options, const std::string &file)
{
    return readChecked(options, file).code;
}

ExitCode showDifference(const CommandOptions &options, const std::string &file)
{
    const DocumentAndForce both = readDocumentAndForce(options, file);
    if (both.code != ExitCode::Done)
        return both.code;
    const Parsed<Manifest> next = resultingManifest(options, both.text, both.inForce.manifest);
    printProblems(file, next.problems);
    if (!next.ok())
        return ExitCode::Invalid;
    const Manifest &before = both.inForce.manifest;
    const Manifest &after = next.value;
    printAdapters("-", before.adapters, after.adapters);
    printAdapters("+", after.adapters, before.adapters);
    printNames("- service", before.head.services, after.head.services);
    printNames("+ service", after.head.services, before.head.services);
    printNames("- target", before.head.targets, after.head.targets);
    printNames("+ target", after.head.targets, before.head.targets);
    if (before.digest() == after.digest())
        std::cout << "nothing changes\n";
    return ExitCode::Done;
}

ExitCode publishDocument(const CommandOptions &options, const std::string &file)
{
    const DocumentAndForce both = readDocumentAndForce(options, file);
    if (both.code != ExitCode::Done)
        return both.code;
    const std::string body = writePublication(options.delta ? "delta" : "manifest",
                                              both.inForce.mark, options.acknowledge, both.text);
    // Applies the same checks as every VM, so that problems are reported before the record is on
    // the log.
    AcceptedManifest trial;
    trial.manifest = both.inForce.manifest;
    trial.mark = both.inForce.mark;
    trial.based = true;
    trial.readThrough = both.inForce.mark.offset;
    const JudgedRecord judged = judge(trial, ManifestRecord{both.inForce.mark.offset + 1, body});
    printProblems(file, judged.problems);
    if (judged.verdict != RecordVerdict::Accepted)
        return exitCodeFor(std::string(verdictName(judged.verdict)));
    const std::uint64_t offset = appendRecord(options, body);
    if (offset == 0) {
        std::cerr << "the log did not answer, but may have stored the record: run publish again; a "
                     "duplicate has no effect\n";
        return ExitCode::Unreachable;
    }
    const std::optional<Json> verdict = awaitVerdict(options, offset);
    if (!verdict) {
        std::cerr << "appended at offset " << offset << ", but no VM gave its verdict in time\n";
        return ExitCode::NotInForce;
    }
    printVerdict(*verdict);
    const ExitCode code = exitCodeFor(verdict->value("verdict", ""));
    return code == ExitCode::Done ? awaitInForce(options, offset) : code;
}

} // namespace monsoonbay::ctl
