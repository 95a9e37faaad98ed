#pragma once

#include <map>
#include <string>
#include <vector>

#include "load_types.h"

namespace buckthornhill::load {
//! Results per service and region: counts per outcome and exact latency percentiles.
class load_report
{
public:
    struct row
    {
        std::size_t done = 0;
        std::size_t not_executed = 0;
        std::size_t unknown = 0;
        std::size_t wrong_answers = 0;
        std::size_t attempts = 0;
        std::vector<double> latencies_ms; //!< of operations with outcome `done`
        std::map<std::string, std::size_t> reasons;
    };

    void add(const operation& completed, const operation_result& result);
    std::string table() const;
    std::string json() const;
    //! A self-contained HTML page with a plot of the latency distribution of each row.
    std::string page() const;
    const std::map<std::pair<service_id, region_id>, row>& rows() const { return this->by_place; }
    row total() const;

private:
    std::map<std::pair<service_id, region_id>, row> by_place;
};

//! The smallest value that at least `fraction` of the values do not exceed; 0 if `values` is empty.
double percentile(std::vector<double> values, double fraction);
} // namespace buckthornhill::load
