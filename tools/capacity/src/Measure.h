#pragma once

#include <functional>
#include <string>
#include <vector>

namespace monsoonbay::capacity {

/** One measurement: the cost at a size. */
struct Point
{
    double size = 0;
    double cost = 0;
};

/** A line fitted to the points by least squares. */
struct LinearFit
{
    std::string name;
    std::string sizeUnit;
    std::string costUnit;
    std::vector<Point> points;
    double slope = 0; ///< cost of each unit of size
    double intercept = 0; ///< cost at size 0
    double rSquared = 0; ///< coefficient of determination
};

/** Fits a line by least squares. */
LinearFit fitLine(const std::string &name, const std::string &sizeUnit, const std::string &costUnit,
                  const std::vector<Point> &points);

/**
 * CPU time of this thread in microseconds for one call: the mean of `calls` calls in a round, and
 * the median of five rounds.
 */
double medianMicroseconds(int calls, const std::function<void(int)> &call);

/** Bytes by which the heap has grown after `build`, from mallinfo2(). */
double heapBytesRetained(const std::function<void()> &build);

/** A row of a Markdown table with the points, the slope, the intercept and R squared. */
std::string fitRow(const LinearFit &fit);

} // namespace monsoonbay::capacity
