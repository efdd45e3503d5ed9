#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/Time.h"
#include "quota/Admission.h"
#include "quota/SpendNote.h"

namespace monsoonbay {

/** Parts of what may be used in a window, in percent, by workspace. */
using SpendPercents = std::map<std::string, int>;

/** What notes in the store permit beyond `noteShare`. */
struct SpendPermits
{
    SpendPercents percents;
    Instant at{}; ///< when the request began that the store acknowledged

    auto operator<=>(const SpendPermits &) const = default;
};

/** What a note names of a workspace at least, as permits that it gave may still count. */
struct HeldPercent
{
    int percent = 0;
    Instant until{}; ///< no less before this

    auto operator<=>(const HeldPercent &) const = default;
};

/** The notes of a zone, at the VM that writes them. */
struct SpendNoting
{
    SpendPercents wanted;
    std::map<std::string, HeldPercent> held; ///< by workspace
    SpendPercents writing; ///< what the note names that is under way
    bool isWriting = false;
    Instant begunAt{}; ///< of the last request
    Instant notBefore{}; ///< no note before this
    SpendPermits acknowledged;
    bool mayName = false; ///< the zone's note in the store may name workspaces

    auto operator<=>(const SpendNoting &) const = default;
};

/** The part that a workspace needs until the next notes are written; 0: it needs none. */
int percentWanted(const WorkspaceLimit &limit, const QuotaPolicy &policy, const FleetUse &fleet);

/**
 * This VM, which started at `startedAt`, begins to write for its zone. Permits that another one
 * gave to these workspaces may still count.
 */
void beginNoting(SpendNoting &noting, const std::vector<std::string> &workspaces,
                 const QuotaPolicy &policy, Instant startedAt, Instant now);

void noteWanted(SpendNoting &noting, SpendPercents wanted, Instant now);

bool isNoteDue(const SpendNoting &noting, Instant now);

/** A note is being written; returns what it has to name. */
SpendPercents beginNote(SpendNoting &noting, Instant now);

void endNote(SpendNoting &noting, bool acknowledged);

/** What the zone's VMs may be told. */
SpendPermits permitsOf(const SpendNoting &noting);

/** The part of what may be used in a window that is let run now. */
double shareAllowed(const SpendPermits &permits, const std::string &workspace, Instant now);

} // namespace monsoonbay
