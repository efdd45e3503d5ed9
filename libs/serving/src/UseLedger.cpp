#include "serving/UseLedger.h"

#include <utility>
#include <vector>

namespace monsoonbay {

void noteReport(UseLedger &ledger, const std::string &reporter, UseReport report)
{
    UseReport &known = ledger.reports[reporter];
    subtractUses(ledger.total, known.uses);
    addUses(ledger.total, report.uses);
    subtractUses(ledger.workspaceTotal, known.workspaces);
    addUses(ledger.workspaceTotal, report.workspaces);
    known = std::move(report);
}

void dropSilent(UseLedger &ledger, Duration silence, Instant now)
{
    std::vector<std::string> silent;
    for (const auto &[reporter, report] : ledger.reports) {
        if (now - report.at > silence)
            silent.push_back(reporter);
    }
    for (const std::string &reporter : silent) {
        subtractUses(ledger.total, ledger.reports.at(reporter).uses);
        subtractUses(ledger.workspaceTotal, ledger.reports.at(reporter).workspaces);
        ledger.reports.erase(reporter);
    }
}

TargetUses usesExcept(const UseLedger &ledger, const std::string &reporter)
{
    TargetUses rest = ledger.total;
    const auto found = ledger.reports.find(reporter);
    if (found != ledger.reports.end())
        subtractUses(rest, found->second.uses);
    return rest;
}

WorkspaceUses workspacesExcept(const UseLedger &ledger, const std::string &reporter)
{
    WorkspaceUses rest = ledger.workspaceTotal;
    const auto found = ledger.reports.find(reporter);
    if (found != ledger.reports.end())
        subtractUses(rest, found->second.workspaces);
    return rest;
}

int vmsReported(const UseLedger &ledger) noexcept
{
    int vms = 0;
    for (const auto &[reporter, report] : ledger.reports)
        vms += report.vms;
    return vms;
}

} // namespace monsoonbay
