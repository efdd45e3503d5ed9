#include "serving/UsageLedger.h"

#include <utility>
#include <vector>

namespace monsoonbay {

void applyReport(UsageLedger &ledger, const std::string &reporter, ReporterUsage report)
{
    ReporterUsage &known = ledger.reports[reporter];
    subtractUsages(ledger.total, known.targets);
    addUsages(ledger.total, report.targets);
    subtractUsages(ledger.workspaceTotal, known.workspaces);
    addUsages(ledger.workspaceTotal, report.workspaces);
    known = std::move(report);
}

void dropSilent(UsageLedger &ledger, Duration silence, Instant now)
{
    std::vector<std::string> silent;
    for (const auto &[reporter, report] : ledger.reports) {
        if (now - report.at > silence)
            silent.push_back(reporter);
    }
    for (const std::string &reporter : silent) {
        subtractUsages(ledger.total, ledger.reports.at(reporter).targets);
        subtractUsages(ledger.workspaceTotal, ledger.reports.at(reporter).workspaces);
        ledger.reports.erase(reporter);
    }
}

namespace {

/** The sum over all reporters minus the report of one of them. */
template <typename Uses>
Uses sumExcept(const UsageLedger &ledger, const std::string &reporter, Uses UsageLedger::*total,
               Uses ReporterUsage::*reported)
{
    Uses rest = ledger.*total;
    const auto found = ledger.reports.find(reporter);
    if (found != ledger.reports.end())
        subtractUsages(rest, found->second.*reported);
    return rest;
}

} // namespace

TargetUsages usagesExcept(const UsageLedger &ledger, const std::string &reporter)
{
    return sumExcept(ledger, reporter, &UsageLedger::total, &ReporterUsage::targets);
}

WorkspaceUses workspacesExcept(const UsageLedger &ledger, const std::string &reporter)
{
    return sumExcept(ledger, reporter, &UsageLedger::workspaceTotal, &ReporterUsage::workspaces);
}

int reportedVms(const UsageLedger &ledger) noexcept
{
    int vms = 0;
    for (const auto &[reporter, report] : ledger.reports)
        vms += report.vms;
    return vms;
}

} // namespace monsoonbay
