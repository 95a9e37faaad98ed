#include "operators/report_commands.h"

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <map>
#include <sstream>

#include <boost/json.hpp>

#include "burn/burn_types.h"
#include "operators/operators_errors.h"
#include "operators/text_table.h"

namespace buckthornhill::operators {
namespace json = boost::json;

namespace {
constexpr double page_bar_width_per_rate = 20;
constexpr double page_bar_max_width = 600;

std::string text_of(const json::value& value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

struct place_totals
{
    std::int64_t slots = 0;
    std::int64_t in_flight = 0;
    std::int64_t queued = 0;
    std::int64_t limit = 0;
};

std::map<std::pair<std::string, std::string>, place_totals>
totals_by_place(const std::vector<instance_status>& statuses)
{
    std::map<std::pair<std::string, std::string>, place_totals> totals;
    for (const auto& instance : statuses) {
        if (!instance.is_answering) {
            continue;
        }
        for (const auto& service : instance.status.at("services").as_array()) {
            auto& place_total =
                totals[{text_of(service.at("service")), text_of(instance.status.at("region"))}];
            place_total.slots += service.at("slots").to_number<std::int64_t>();
            place_total.limit += service.at("limit").to_number<std::int64_t>();
            place_total.in_flight += service.at("in_flight").to_number<std::int64_t>();
            place_total.queued += service.at("queued").to_number<std::int64_t>();
        }
    }
    return totals;
}

struct burn_row
{
    std::map<std::string, burn::burn_counts> windows;
};

using burn_rows = std::map<std::pair<std::string, std::string>, burn_row>;

burn_rows gather_burn(const std::vector<instance_status>& statuses)
{
    burn_rows rows;
    for (const auto& instance : statuses) {
        if (!instance.is_answering) {
            continue;
        }
        for (const auto& item : instance.status.at("burn").at("rows").as_array()) {
            auto& row = rows[{text_of(item.at("service")) + ", " + text_of(instance.status.at("region")),
                              text_of(item.at("customers"))}];
            for (const auto& window : item.at("windows").as_object()) {
                auto& counts = row.windows[std::string(window.key())];
                counts.good += window.value().at("good").to_number<std::uint64_t>();
                counts.bad += window.value().at("bad").to_number<std::uint64_t>();
            }
        }
    }
    return rows;
}

double availability_objective_of(const std::vector<instance_status>& statuses)
{
    for (const auto& instance : statuses) {
        if (instance.is_answering) {
            return instance.status.at("burn").at("availability_objective").as_double();
        }
    }
    throw operators_error(exit_status::failure, "no instance responds");
}

std::string rate_text(double rate)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << rate;
    return text.str();
}

std::string burn_page(const burn_rows& rows, double objective)
{
    std::ostringstream html;
    html << "<!doctype html><meta charset=\"utf-8\"><title>Service-level burn</title><h1>Service-level "
            "burn</h1>"
         << "<p>Objective " << objective * 100 << " %. A rate of 1 uses up exactly the error budget.</p>";
    for (const auto& [key, row] : rows) {
        html << "<h2>" << key.first << " (" << key.second << ")</h2><table>";
        for (const auto& window : burn::burn_windows) {
            const auto found = row.windows.find(std::string(window.name));
            const auto rate = found == row.windows.end() ? 0 : burn::burn_rate(found->second, objective);
            html << "<tr><td>" << window.name << "<td>" << rate_text(rate) << "<td><svg width=\""
                 << page_bar_max_width << "\" height=\"12\"><rect height=\"12\" width=\""
                 << std::min(page_bar_max_width, rate * page_bar_width_per_rate) << "\" fill=\""
                 << (rate > 1 ? "#c00" : "#080") << "\"/></svg>";
        }
        html << "</table>";
    }
    return html.str();
}
} // namespace

report_commands::report_commands(const operators_configuration& settings, const fleet_access& access)
    : configuration(settings)
    , fleet(access)
{
}

std::string report_commands::status() const
{
    const auto statuses = this->fleet.statuses();
    if (this->configuration.is_json) {
        json::array all;
        for (const auto& instance : statuses) {
            all.push_back(
                {{"id", instance.id}, {"is_answering", instance.is_answering}, {"status", instance.status}});
        }
        return json::serialize(all) + "\n";
    }
    text_table instances(
        {"instance", "region", "domain", "state", "plans", "quotas", "drains", "confirmed", "flows"});
    for (const auto& instance : statuses) {
        if (!instance.is_answering) {
            const auto* state = instance.is_readable ? "does not respond" : "cannot be read";
            instances.add({instance.id, "-", "-", state});
            continue;
        }
        const auto& status = instance.status;
        const auto& versions = status.at("versions");
        instances.add({instance.id, text_of(status.at("region")), text_of(status.at("domain")),
                       text_of(status.at("state")), text_of(versions.at("plans")),
                       text_of(versions.at("quotas")), text_of(versions.at("drains")),
                       status.at("is_confirmed").as_bool() ? "yes" : "NO", text_of(status.at("flows"))});
    }
    text_table services({"service", "region of owner", "slots", "usable", "in use", "queued", "headroom"});
    for (const auto& [place, place_total] : totals_by_place(statuses)) {
        services.add({place.first, place.second, std::to_string(place_total.slots),
                      std::to_string(place_total.limit), std::to_string(place_total.in_flight),
                      std::to_string(place_total.queued),
                      std::to_string(place_total.limit - place_total.in_flight)});
    }
    return instances.str() + "\n" + services.str();
}

std::string report_commands::drain_status() const
{
    const auto statuses = this->fleet.statuses();
    text_table table({"instance", "drain", "target", "state", "running", "calls due"});
    for (const auto& instance : statuses) {
        if (!instance.is_answering) {
            continue;
        }
        for (const auto& drain : instance.status.at("drains").as_array()) {
            std::string customers_due;
            for (const auto& call : drain.at("notifications_due").as_array()) {
                customers_due += (customers_due.empty() ? "" : ", ") + text_of(call.at("customer"));
            }
            table.add({instance.id, text_of(drain.at("id")),
                       text_of(drain.at("kind")) + " " + text_of(drain.at("target")),
                       text_of(drain.at("state")), text_of(drain.at("running")), customers_due});
        }
    }
    return table.str();
}

std::string report_commands::burn() const
{
    const auto statuses = this->fleet.statuses();
    const auto objective = availability_objective_of(statuses);
    const auto rows = gather_burn(statuses);
    if (!this->configuration.report_page_file.empty()) {
        std::ofstream file(this->configuration.report_page_file);
        file << burn_page(rows, objective);
        if (!file) {
            throw operators_error(exit_status::failure,
                                  "cannot write " + this->configuration.report_page_file);
        }
    }
    json::array list;
    text_table table({"service, region", "customers", "5m", "1h", "30m", "6h", "bad/all 6h"});
    for (const auto& [key, row] : rows) {
        std::vector<std::string> cells{key.first, key.second};
        json::object item{{"place", key.first}, {"customers", key.second}};
        for (const auto& window : burn::burn_windows) {
            const auto rate = burn::burn_rate(row.windows.at(std::string(window.name)), objective);
            cells.push_back(rate_text(rate));
            item[window.name] = rate;
        }
        const auto& longest = row.windows.at("6h");
        cells.push_back(std::to_string(longest.bad) + "/" + std::to_string(longest.bad + longest.good));
        table.add(std::move(cells));
        list.push_back(std::move(item));
    }
    return this->configuration.is_json ? json::serialize(list) + "\n" : table.str();
}
} // namespace buckthornhill::operators
