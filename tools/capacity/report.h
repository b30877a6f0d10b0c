#ifndef UMBERTRAIL_TOOLS_CAPACITY_REPORT_H_
#define UMBERTRAIL_TOOLS_CAPACITY_REPORT_H_

#include <string>
#include <vector>

#include "slope.h"

namespace umbertrail::capacity {

// Prints one measured series with its fit, as
// `NAME [SIZE UNIT]: SIZE=COST ... | BASE + SLOPE x SIZE (r2 R)`.
void PrintSeries(const std::string& name,
                 const std::string& size_unit,
                 const std::string& cost_unit,
                 const std::vector<Point>& points);

// Prints one figure that has no size.
void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit);

}  // namespace umbertrail::capacity

#endif  // UMBERTRAIL_TOOLS_CAPACITY_REPORT_H_
