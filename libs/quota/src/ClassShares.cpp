#include "quota/ClassShares.h"

#include <algorithm>
#include <numeric>

namespace monsoonbay {

namespace {

/** Part of the even share that each class keeps. */
constexpr double leastShare = 0.5;

/**
 * Least share of a class against the share of all calls, counted by calls. A quarter is required;
 * the rest is for errors of the demand. The even share is one of units: many small calls raise the
 * share of all calls far beyond it.
 */
constexpr double leastOfCalls = 0.28;

constexpr int halvings = 10;

double sumOf(const std::array<double, callClasses> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

ClassShares sharesAbove(const ClassDemand &demand, double least, double unitsAdmitted)
{
    ClassShares shares;
    shares.fill(least);
    double left = std::max(unitsAdmitted - least * sumOf(demand.units), 0.0);
    for (std::size_t index = 0; index < callClasses; ++index) {
        const double asked = demand.units[index];
        if (asked <= 0)
            continue;
        const double added = std::min(left, (1 - least) * asked);
        shares[index] = std::min(least + added / asked, 1.0);
        left -= added;
    }
    return shares;
}

bool isServedEnough(const ClassDemand &demand, const ClassShares &shares)
{
    double calls = 0;
    double admitted = 0;
    double fewest = 1;
    for (std::size_t index = 0; index < callClasses; ++index) {
        calls += demand.calls[index];
        admitted += demand.calls[index] * shares[index];
        if (demand.units[index] > 0)
            fewest = std::min(fewest, shares[index]);
    }
    return fewest * calls >= leastOfCalls * admitted;
}

} // namespace

// Where the least share has to be more than `leastShare` gives, it is the smallest that serves
// every class often enough. The even share always does, so there is one.
ClassShares sharesOf(const ClassDemand &demand, double evenShare) noexcept
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
