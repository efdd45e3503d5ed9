#pragma once

#include <string>
#include <unordered_map>

#include "core/Time.h"
#include "quota/UnitsByAge.h"
#include "quota/WorkspaceUse.h"
#include "serving/TargetUsage.h"

namespace monsoonbay {

/** The newest word of one reporter: a VM of the own zone, or another zone as a whole. */
struct ReporterUsage
{
    TargetUsages targets;
    WorkspaceUses workspaces;
    WorkspaceUnits unitsByAge; ///< of workspaces whose use is to be noted
    int vms = 1; ///< VMs that it speaks for
    Instant at{};

    bool operator==(const ReporterUsage &) const = default;
};

/** What all reporters' calls take, kept as a sum so that no call has to add it up. */
struct UsageLedger
{
    std::unordered_map<std::string, ReporterUsage> reports; ///< by reporter
    TargetUsages total;
    WorkspaceUses workspaceTotal;
};

/** Takes a reporter's newest word in place of the one before. */
void applyReport(UsageLedger &ledger, const std::string &reporter, ReporterUsage report);

/**
 * Drops those whose last word is older than `silence`: their calls end with them or are no longer
 * known, and keeping them would leave engines looking busy for ever.
 */
void dropSilent(UsageLedger &ledger, Duration silence, Instant now);

/** What all but one reporter take. */
TargetUsages usagesExcept(const UsageLedger &ledger, const std::string &reporter);

/** What the calls of all but one reporter's workspaces use. */
WorkspaceUses workspacesExcept(const UsageLedger &ledger, const std::string &reporter);

/** VMs that the reporters speak for. */
int vmsReported(const UsageLedger &ledger) noexcept;

} // namespace monsoonbay
