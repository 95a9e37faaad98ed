#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

#include <boost/json.hpp>

namespace buckthornhill::load {
namespace json = boost::json;
using requests::outcome;

namespace {
constexpr double plot_fractions[] = {0.01, 0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0};
constexpr double plot_width = 640;
constexpr double plot_height = 160;

json::object describe(const load_report::row& row)
{
    json::object reasons;
    for (const auto& [reason, count] : row.reasons) {
        reasons[reason] = count;
    }
    return {{"done", row.done},
            {"not_executed", row.not_executed},
            {"unknown", row.unknown},
            {"wrong_answers", row.wrong_answers},
            {"attempts", row.attempts},
            {"p50_ms", percentile(row.latencies_ms, 0.5)},
            {"p99_ms", percentile(row.latencies_ms, 0.99)},
            {"max_ms", percentile(row.latencies_ms, 1.0)},
            {"reasons", std::move(reasons)}};
}

std::string plot_of(const load_report::row& row)
{
    const auto highest = std::max(0.001, percentile(row.latencies_ms, 1.0));
    std::ostringstream svg;
    svg << "<svg width=\"" << plot_width << "\" height=\"" << plot_height << "\"><polyline fill=\"none\" "
        << "stroke=\"#06c\" points=\"";
    const auto steps = std::size(plot_fractions);
    for (std::size_t i = 0; i < steps; ++i) {
        const auto x = plot_width * static_cast<double>(i) / static_cast<double>(steps - 1);
        const auto y = plot_height * (1 - percentile(row.latencies_ms, plot_fractions[i]) / highest);
        svg << x << "," << y << " ";
    }
    svg << "\"/></svg>";
    return svg.str();
}
} // namespace

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    const auto index = std::clamp<std::size_t>(rank, 1, values.size()) - 1;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void load_report::add(const operation& completed, const operation_result& result)
{
    auto& row = this->by_place[{completed.service, completed.region}];
    row.attempts += static_cast<std::size_t>(result.attempts);
    row.wrong_answers += result.is_wrong_answer ? 1 : 0;
    if (result.result == outcome::done) {
        ++row.done;
        row.latencies_ms.push_back(std::chrono::duration<double, std::milli>(result.latency).count());
    } else if (result.result == outcome::not_executed) {
        ++row.not_executed;
        ++row.reasons[result.reason];
    } else {
        ++row.unknown;
    }
}

load_report::row load_report::total() const
{
    row sum;
    for (const auto& [place, row] : this->by_place) {
        sum.done += row.done;
        sum.not_executed += row.not_executed;
        sum.unknown += row.unknown;
        sum.wrong_answers += row.wrong_answers;
        sum.attempts += row.attempts;
        sum.latencies_ms.insert(sum.latencies_ms.end(), row.latencies_ms.begin(), row.latencies_ms.end());
        for (const auto& [reason, count] : row.reasons) {
            sum.reasons[reason] += count;
        }
    }
    return sum;
}

std::string load_report::table() const
{
    std::ostringstream text;
    text << std::left << std::setw(18) << "service" << std::setw(12) << "region" << std::right << std::setw(8)
         << "done" << std::setw(9) << "not-run" << std::setw(9) << "unknown" << std::setw(7) << "wrong"
         << std::setw(10) << "p50 ms" << std::setw(10) << "p99 ms" << std::setw(10) << "max ms"
         << "\n";
    auto line = [&text](const std::string& service, const std::string& region, const row& row) {
        text << std::left << std::setw(18) << service << std::setw(12) << region << std::right << std::setw(8)
             << row.done << std::setw(9) << row.not_executed << std::setw(9) << row.unknown << std::setw(7)
             << row.wrong_answers << std::fixed << std::setprecision(2) << std::setw(10)
             << percentile(row.latencies_ms, 0.5) << std::setw(10) << percentile(row.latencies_ms, 0.99)
             << std::setw(10) << percentile(row.latencies_ms, 1.0) << "\n";
    };
    for (const auto& [place, row] : this->by_place) {
        line(place.first.str(), place.second.str(), row);
    }
    const auto sum = this->total();
    line("all", "", sum);
    for (const auto& [reason, count] : sum.reasons) {
        text << "not run, " << (reason.empty() ? "no entry instance was reached" : reason) << ": " << count
             << "\n";
    }
    return text.str();
}

std::string load_report::json() const
{
    json::array rows;
    for (const auto& [place, row] : this->by_place) {
        auto object = describe(row);
        object["service"] = place.first.str();
        object["region"] = place.second.str();
        rows.push_back(std::move(object));
    }
    return json::serialize(json::value{{"rows", std::move(rows)}, {"total", describe(this->total())}});
}

std::string load_report::page() const
{
    std::ostringstream html;
    html << "<!doctype html><meta charset=\"utf-8\"><title>Load report</title><h1>Load report</h1><pre>"
         << this->table() << "</pre>";
    for (const auto& [place, row] : this->by_place) {
        html << "<h2>" << place.first.str() << ", " << place.second.str()
             << "</h2><p>Latency by percentile, 1 % to 100 %; the top of the plot is "
             << percentile(row.latencies_ms, 1.0) << " ms</p>" << plot_of(row);
    }
    return html.str();
}
} // namespace buckthornhill::load
