#pragma once

#include <string>
#include <unordered_map>

#include "core/Time.h"
#include "quota/UnitsByAge.h"
#include "quota/WorkspaceUse.h"
#include "serving/TargetUse.h"

namespace monsoonbay {

/** The newest word of one reporter: a VM of the own zone, or another zone as a whole. */
struct UseReport
{
    TargetUses uses;
    WorkspaceUses workspaces;
    WorkspaceUnits unitsByAge; ///< of workspaces whose use is to be noted
    int vms = 1; ///< VMs that it speaks for
    Instant at{};

    bool operator==(const UseReport &) const = default;
};

/** What all reporters' calls take, kept as a sum so that no call has to add it up. */
struct UseLedger
{
    std::unordered_map<std::string, UseReport> reports; ///< by reporter
    TargetUses total;
    WorkspaceUses workspaceTotal;
};

/** Takes a reporter's newest word in place of the one before. */
void noteReport(UseLedger &ledger, const std::string &reporter, UseReport report);

/**
 * Drops those whose last word is older than `silence`: their calls end with them or are no longer
 * known, and keeping them would leave engines looking busy for ever.
 */
void dropSilent(UseLedger &ledger, Duration silence, Instant now);

/** What all but one reporter take. */
TargetUses usesExcept(const UseLedger &ledger, const std::string &reporter);

/** What the calls of all but one reporter's workspaces use. */
WorkspaceUses workspacesExcept(const UseLedger &ledger, const std::string &reporter);

/** VMs that the reporters speak for. */
int vmsReported(const UseLedger &ledger) noexcept;

} // namespace monsoonbay
