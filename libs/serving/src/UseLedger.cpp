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

namespace {

/** A sum over all reporters less what one of them reported. */
template <typename Uses>
Uses sumExcept(const UseLedger &ledger, const std::string &reporter, Uses UseLedger::*total,
               Uses UseReport::*reported)
{
    Uses rest = ledger.*total;
    const auto found = ledger.reports.find(reporter);
    if (found != ledger.reports.end())
        subtractUses(rest, found->second.*reported);
    return rest;
}

} // namespace

TargetUses usesExcept(const UseLedger &ledger, const std::string &reporter)
{
    return sumExcept(ledger, reporter, &UseLedger::total, &UseReport::uses);
}

WorkspaceUses workspacesExcept(const UseLedger &ledger, const std::string &reporter)
{
    return sumExcept(ledger, reporter, &UseLedger::workspaceTotal, &UseReport::workspaces);
}

int vmsReported(const UseLedger &ledger) noexcept
{
    int vms = 0;
    for (const auto &[reporter, report] : ledger.reports)
        vms += report.vms;
    return vms;
}

} // namespace monsoonbay
