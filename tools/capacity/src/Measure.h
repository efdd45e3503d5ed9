#pragma once

#include <functional>
#include <string>
#include <vector>

namespace monsoonbay::capacity {

/** One measured point: a size and what it cost. */
struct Point
{
    double size = 0;
    double cost = 0;
};

/** A straight line through the points, and how well it fits. */
struct LinearFit
{
    std::string name;
    std::string sizeUnit;
    std::string costUnit;
    std::vector<Point> points;
    double slope = 0;
    double intercept = 0;
    double rSquared = 0; ///< coefficient of determination
};

LinearFit fitLine(const std::string &name, const std::string &sizeUnit, const std::string &costUnit,
                  const std::vector<Point> &points);

/** Processor time in microseconds of one call, from many calls; the median of several rounds. */
double medianMicroseconds(int calls, const std::function<void(int)> &call);

/** Bytes of the heap that `build` leaves behind. */
double heapBytesRetained(const std::function<void()> &build);

std::string fitRow(const LinearFit &fit);

} // namespace monsoonbay::capacity
