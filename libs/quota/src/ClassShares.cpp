#include "quota/ClassShares.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace monsoonbay {

namespace {

/** Minimum share of each class, as a part of the even share. */
constexpr double minShareOfEven = 0.5;

/**
 * Minimum share of a class, as a part of the share of all calls, both counted in calls. The even
 * share counts units, and many small calls raise the share of all calls far above it.
 */
constexpr double minShareOfCalls = 0.25;

/** Standard deviations by which a class's admitted calls are kept above that minimum. */
constexpr double deviationsKept = 2;

/** Bounds of the part of a share that is relied on; the rest covers chance and estimate errors. */
constexpr double minReliablePart = 0.55;
constexpr double maxReliablePart = 0.9;

constexpr int bisectionSteps = 10;

double sumOf(const std::array<double, callClassCount> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

ClassShares sharesWithMinimum(const ClassDemand &demand, double minimum, double unitsAdmitted)
{
    ClassShares shares;
    shares.fill(minimum);
    double left = std::max(unitsAdmitted - minimum * sumOf(demand.units), 0.0);
    for (std::size_t index = 0; index < callClassCount; ++index) {
        const double requested = demand.units[index];
        if (requested <= 0)
            continue;
        const double added = std::min(left, (1 - minimum) * requested);
        shares[index] = std::min(minimum + added / requested, 1.0);
        left -= added;
    }
    return shares;
}

// Standard deviation of the admitted calls. As each VM spaces its admitted calls evenly, it is off
// by half a call at most.
double deviationOf(double calls, double share, int vms)
{
    const double variance = calls * share * (1 - share);
    return std::sqrt(vms > 0 ? std::min(variance, 0.25 * vms) : variance);
}

/** The part of a class's share that can be relied on; it is smaller for fewer calls. */
double reliableShare(const ClassDemand &demand, const ClassShares &shares, std::size_t index)
{
    const double calls = demand.calls[index];
    const double admitted = std::max(calls * shares[index], 1.0);
    const double deviation = deviationOf(calls, shares[index], demand.vms) / admitted;
    return shares[index]
        * std::clamp(1 - deviationsKept * deviation, minReliablePart, maxReliablePart);
}

bool areAllServedEnough(const ClassDemand &demand, const ClassShares &shares)
{
    double calls = 0;
    double admitted = 0;
    double lowestShare = 1;
    for (std::size_t index = 0; index < callClassCount; ++index) {
        calls += demand.calls[index];
        admitted += demand.calls[index] * shares[index];
        if (demand.units[index] > 0)
            lowestShare = std::min(lowestShare, reliableShare(demand, shares, index));
    }
    return lowestShare * calls >= minShareOfCalls * admitted;
}

} // namespace

// If the minimum share by `minShareOfEven` serves some class too rarely, finds the smallest one
// that serves all of them by bisection. The even share always does, so one exists.
ClassShares classSharesOf(const ClassDemand &demand, double evenShare) noexcept
{
    ClassShares even;
    even.fill(evenShare);
    const auto requested = std::count_if(demand.units.begin(), demand.units.end(),
                                         [](double units) { return units > 0; });
    if (evenShare >= 1 || evenShare <= 0 || requested < 2)
        return even;
    const double unitsAdmitted = evenShare * sumOf(demand.units);
    ClassShares shares = sharesWithMinimum(demand, minShareOfEven * evenShare, unitsAdmitted);
    if (areAllServedEnough(demand, shares))
        return shares;
    shares = even;
    double tooLittle = minShareOfEven * evenShare;
    double enough = evenShare;
    for (int step = 0; step < bisectionSteps; ++step) {
        const double tried = (tooLittle + enough) / 2;
        const ClassShares found = sharesWithMinimum(demand, tried, unitsAdmitted);
        if (areAllServedEnough(demand, found)) {
            enough = tried;
            shares = found;
            continue;
        }
        tooLittle = tried;
    }
    return shares;
}

} // namespace monsoonbay
