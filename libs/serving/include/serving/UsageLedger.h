#pragma once

#include <string>
#include <unordered_map>

#include "core/Time.h"
#include "quota/UnitsByAge.h"
#include "quota/WorkspaceUse.h"
#include "serving/TargetUsage.h"

namespace monsoonbay {

/** The latest report of one reporter: a VM of this zone, or another zone as a whole. */
struct ReporterUsage
{
    TargetUsages targets;
    WorkspaceUses workspaces;
    WorkspaceUnits unitsByAge; ///< of workspaces whose usage is to be stored in snapshots
    int vms = 1; ///< number of VMs that the report covers
    Instant at{};

    bool operator==(const ReporterUsage &) const = default;
};

/** Usage by all reporters' calls, kept as a running sum so that no call has to add it up. */
struct UsageLedger
{
    std::unordered_map<std::string, ReporterUsage> reports; ///< latest, by reporter
    TargetUsages total;
    WorkspaceUses workspaceTotal;
};

/** Replaces the reporter's previous report. */
void applyReport(UsageLedger &ledger, const std::string &reporter, ReporterUsage report);

/**
 * Removes reporters whose last report is older than `silence`: their calls have ended with them or
 * are no longer known, and would otherwise make engines look busy for ever.
 */
void dropSilent(UsageLedger &ledger, Duration silence, Instant now);

/** Usage of targets by all but one reporter. */
TargetUsages usagesExcept(const UsageLedger &ledger, const std::string &reporter);

/** Usage of workspaces by all but one reporter. */
WorkspaceUses workspacesExcept(const UsageLedger &ledger, const std::string &reporter);

/** Number of VMs that the reports cover. */
int reportedVms(const UsageLedger &ledger) noexcept;

} // namespace monsoonbay
