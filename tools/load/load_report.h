#pragma once

#include <map>
#include <string>
#include <vector>

#include "load_types.h"

namespace buckthornhill::load {
//! Results by service and region: counts by outcome and exact latency percentiles.
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
        std::vector<double> latencies_ms; //!< of answered operations
        std::map<std::string, std::size_t> reasons;
    };

    void add(const operation& completed, const operation_result& result);
    std::string table() const;
    std::string json() const;
    //! One self-contained page with a plot of the latency distribution of each row.
    std::string page() const;
    const std::map<std::pair<service_id, region_id>, row>& rows() const { return this->by_place; }
    row total() const;

private:
    std::map<std::pair<service_id, region_id>, row> by_place;
};

//! The value below which `fraction` of the values lie; 0 when there are none.
double percentile(std::vector<double> values, double fraction);
} // namespace buckthornhill::load
