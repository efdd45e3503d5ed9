#include "Measure.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <sstream>

#include <malloc.h>

namespace monsoonbay::capacity {

namespace {

constexpr int rounds = 5;

double threadCpuSeconds()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double heapInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace

LinearFit fitLine(const std::string &name, const std::string &sizeUnit, const std::string &costUnit,
                  const std::vector<Point> &points)
{
    LinearFit fit{name, sizeUnit, costUnit, points, 0, 0, 0};
    double meanSize = 0;
    double meanCost = 0;
    for (const Point &point : points) {
        meanSize += point.size / static_cast<double>(points.size());
        meanCost += point.cost / static_cast<double>(points.size());
    }
    double sizeSize = 0;
    double sizeCost = 0;
    double costCost = 0;
    for (const Point &point : points) {
        sizeSize += (point.size - meanSize) * (point.size - meanSize);
        sizeCost += (point.size - meanSize) * (point.cost - meanCost);
        costCost += (point.cost - meanCost) * (point.cost - meanCost);
    }
    fit.slope = sizeSize > 0 ? sizeCost / sizeSize : 0;
    fit.intercept = meanCost - fit.slope * meanSize;
    fit.rSquared = costCost > 0 ? sizeCost * sizeCost / (sizeSize * costCost) : 1;
    return fit;
}

double medianMicroseconds(int calls, const std::function<void(int)> &call)
{
    std::vector<double> measured;
    for (int round = 0; round < rounds; ++round) {
        const double began = threadCpuSeconds();
        for (int number = 0; number < calls; ++number)
            call(number);
        measured.push_back((threadCpuSeconds() - began) * 1e6 / calls);
    }
    std::nth_element(measured.begin(), measured.begin() + rounds / 2, measured.end());
    return measured[rounds / 2];
}

double heapBytesRetained(const std::function<void()> &build)
{
    malloc_trim(0);
    const double before = heapInUse();
    build();
    return heapInUse() - before;
}

std::string fitRow(const LinearFit &fit)
{
    std::ostringstream text;
    text << "| " << fit.name << " |";
    for (const Point &point : fit.points)
        text << " " << std::setprecision(6) << point.size << ": " << std::setprecision(4)
             << point.cost << ";";
    text << " | " << std::setprecision(4) << fit.slope << " " << fit.costUnit << " a "
         << fit.sizeUnit << " | " << fit.intercept << " | " << std::setprecision(3) << fit.rSquared
         << " |\n";
    return text.str();
}

} // namespace monsoonbay::capacity
