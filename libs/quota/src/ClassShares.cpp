#include "quota/ClassShares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace monsoonbay {

namespace {

/** Minimum share of each class, as a part of the even share. */
constexpr double leastShare = 0.5;

/**
 * Minimum share of a class, as a part of the share of all calls, both counted in calls. The even
 * share counts units, and many small calls raise the share of all calls far above it.
 */
constexpr double leastOfCalls = 0.25;

/** Standard deviations by which a class's admitted calls are kept above that minimum. */
constexpr double deviationsKept = 2;

/** Bounds of the part of a share that is relied on; the rest covers chance and estimate errors. */
constexpr double leastCounted = 0.55;
constexpr double mostCounted = 0.9;

constexpr int halvings = 10;

double sumOf(const std::array<double, callClassCount> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

ClassShares sharesAbove(const ClassDemand &demand, double least, double unitsAdmitted)
{
    ClassShares shares;
    shares.fill(least);
    double left = std::max(unitsAdmitted - least * sumOf(demand.units), 0.0);
    for (std::size_t index = 0; index < callClassCount; ++index) {
        const double asked = demand.units[index];
        if (asked <= 0)
            continue;
        const double added = std::min(left, (1 - least) * asked);
        shares[index] = std::min(least + added / asked, 1.0);
        left -= added;
    }
    return shares;
}

// Standard deviation of the admitted calls. As each VM spaces its admitted calls evenly, it is off
// by half a call at most.
double deviationOf(double calls, double share, int vms)
{
    const double drawn = calls * share * (1 - share);
    return std::sqrt(vms > 0 ? std::min(drawn, 0.25 * vms) : drawn);
}

/** The part of a class's share that can be relied on; it is smaller for fewer calls. */
double shareCountedOn(const ClassDemand &demand, const ClassShares &shares, std::size_t index)
{
    const double calls = demand.calls[index];
    const double admitted = std::max(calls * shares[index], 1.0);
    const double deviation = deviationOf(calls, shares[index], demand.vms) / admitted;
    return shares[index] * std::clamp(1 - deviationsKept * deviation, leastCounted, mostCounted);
}

bool isServedEnough(const ClassDemand &demand, const ClassShares &shares)
{
    double calls = 0;
    double admitted = 0;
    double fewest = 1;
    for (std::size_t index = 0; index < callClassCount; ++index) {
        calls += demand.calls[index];
        admitted += demand.calls[index] * shares[index];
        if (demand.units[index] > 0)
            fewest = std::min(fewest, shareCountedOn(demand, shares, index));
    }
    return fewest * calls >= leastOfCalls * admitted;
}

} // namespace

// If the minimum share by `leastShare` serves some class too rarely, finds the smallest one that
// serves all of them by bisection. The even share always does, so one exists.
ClassShares classSharesOf(const ClassDemand &demand, double evenShare) noexcept
{
    ClassShares even;
    even.fill(evenShare);
    const auto asked = std::count_if(demand.units.begin(), demand.units.end(),
                                     [](double units) { return units > 0; });
    if (evenShare >= 1 || evenShare <= 0 || asked < 2)
        return even;
    const double unitsAdmitted = evenShare * sumOf(demand.units);
    ClassShares shares = sharesAbove(demand, leastShare * evenShare, unitsAdmitted);
    if (isServedEnough(demand, shares))
        return shares;
    shares = even;
    double tooLittle = leastShare * evenShare;
    double enough = evenShare;
    for (int halving = 0; halving < halvings; ++halving) {
        const double tried = (tooLittle + enough) / 2;
        const ClassShares found = sharesAbove(demand, tried, unitsAdmitted);
        if (isServedEnough(demand, found)) {
            enough = tried;
            shares = found;
            continue;
        }
        tooLittle = tried;
    }
    return shares;
}

} // namespace monsoonbay
