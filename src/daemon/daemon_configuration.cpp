#include "daemon/daemon_configuration.h"

#include <cstdlib>
#include <sstream>

#include <boost/program_options.hpp>

#include "daemon/daemon_errors.h"
#include "global/error.h"

namespace buckthornhill::daemon {
namespace options = boost::program_options;

namespace {
constexpr double bits_per_megabit = 1e6;
constexpr double bits_per_byte = 8;
//! Flags must not be abbreviated: the meaning of an abbreviation could change when a flag is added.
constexpr int command_line_style =
    options::command_line_style::default_style & ~options::command_line_style::allow_guessing;
constexpr std::string_view peer_key_variable = "BTH_PEER_KEY";

//! A numeric setting; the help text names its unit.
struct number_setting
{
    const char* name;
    const char* help;
    double default_value;
    double minimum;
    double maximum;
};

constexpr number_setting number_settings[] = {
    {"domain-distance-ms", "one-way latency between failure domains, in milliseconds", 5, 0, 1000},
    {"region-distance-ms", "one-way latency between regions, in milliseconds", 12, 0, 5000},
    {"link-mbit", "capacity each way between two regions, in Mbit/s", 280, 0.1, 1e6},
    {"headroom-percent", "slots that other regions may not use, in percent", 10, 0, 90},
    {"shift-cap-percent", "cap on shifted traffic, in percent of a region's slots", 50, 0, 100},
    {"shift-ramp-ms", "time from the start of a shift until its cap is fully available, in milliseconds",
     6000, 100, 600000},
    {"slow-start-ms", "ramp of a new or returned upstream, in milliseconds", 2000, 0, 600000},
    {"heartbeat-ms", "interval between heartbeats, in milliseconds", 500, 20, 10000},
    {"gone-after-ms", "time without contact after which a peer counts as gone, in milliseconds", 3000, 100,
     60000},
    {"heartbeat-targets",
     "peers that get a heartbeat per round, inside the failure domain and as many outside", 8, 1, 64},
    {"gossip-records", "members described in one heartbeat", 6, 2, 2000},
    {"lookup-ttl-ms", "validity of a look-up response, in milliseconds", 2000, 100, 60000},
    {"linger-ms", "time for which a leaving instance continues to forward, in milliseconds", 4000, 0, 600000},
    {"default-deadline-ms", "deadline of a request that specifies none, in milliseconds", 5000, 10, 600000},
    {"max-deadline-ms", "longest deadline that a request may specify, in milliseconds", 60000, 10, 3600000},
    {"max-body-bytes", "largest request body, in bytes", 1048576, 0, 1073741824},
    {"request-timeout-ms", "time within which a request must arrive completely, in milliseconds", 5000, 50,
     600000},
    {"max-connections", "largest number of concurrent connections from callers", 4096, 1, 1000000},
    {"latency-objective-ms", "service-level objective for a request's latency, in milliseconds", 250, 1,
     600000},
    {"availability-percent", "service-level objective for successful requests, in percent", 99.9, 50,
     99.9999},
};

options::options_description describe_options()
{
    options::options_description description(
        "buckthornhilld settings (flag, or environment variable BTH_<FLAG>)");
    auto add = description.add_options();
    add("help", "print this help");
    add("version", "print the version");
    add("check", "check the settings and exit");
    add("print-settings", "print the settings in force and exit");
    add("id", options::value<std::string>(), "name of this entry instance");
    add("region", options::value<std::string>(), "region of this entry instance");
    add("domain", options::value<std::string>(), "failure domain of this entry instance");
    add("caller-listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address:port for callers");
    add("peer-listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address:port for other entry instances");
    add("operations-listen", options::value<std::string>()->default_value("127.0.0.1:0"),
        "address:port for operators and metrics");
    add("store", options::value<std::string>(), "address:port of the platform's object API");
    add("seed-peers", options::value<std::string>()->default_value(""),
        "peer addresses to ask while the store is down, separated by commas");
    add("weigh", options::value<std::string>()->default_value("headroom"), "headroom or latency");
    add("log-level", options::value<std::string>()->default_value("info"), "debug, info, warning or error");
    add("log-format", options::value<std::string>()->default_value("text"), "text or json");
    for (const auto& setting : number_settings) {
        add(setting.name, options::value<double>()->default_value(setting.default_value), setting.help);
    }
    return description;
}

std::string flag_of_variable(const std::string& variable)
{
    constexpr std::string_view prefix = "BTH_";
    if (!variable.starts_with(prefix) || variable == peer_key_variable) {
        return {};
    }
    std::string flag = variable.substr(prefix.size());
    for (auto& letter : flag) {
        letter = letter == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return flag;
}

//! Reads settings and collects the faults, so that one error can list all of them.
class settings_reader
{
public:
    explicit settings_reader(const options::variables_map& values)
        : values(values)
    {
    }

    double number(std::string_view name)
    {
        for (const auto& setting : number_settings) {
            if (setting.name == name) {
                return this->validated_number(setting);
            }
        }
        throw settings_error("unknown numeric setting " + std::string(name));
    }

    std::chrono::milliseconds milliseconds(std::string_view name)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(this->number(name)));
    }

    std::string required(const char* name)
    {
        if (this->values.count(name) == 0 || this->values[name].as<std::string>().empty()) {
            this->faults.push_back("--" + std::string(name) + ": must be set");
            return {};
        }
        return this->values[name].as<std::string>();
    }

    http::endpoint endpoint(const char* name)
    {
        const auto text = this->required(name);
        return text.empty() ? http::endpoint{} : this->parsed_endpoint(name, text);
    }

    std::vector<http::endpoint> endpoints(const char* name)
    {
        std::vector<http::endpoint> all;
        std::istringstream text(this->values[name].as<std::string>());
        std::string item;
        while (std::getline(text, item, ',')) {
            all.push_back(this->parsed_endpoint(name, item));
        }
        return all;
    }

    std::string one_of(const char* name, const std::vector<std::string>& allowed)
    {
        auto value = this->values[name].as<std::string>();
        std::string allowed_text;
        for (const auto& candidate : allowed) {
            if (candidate == value) {
                return value;
            }
            allowed_text += (allowed_text.empty() ? "" : ", ") + candidate;
        }
        this->faults.push_back("--" + std::string(name) + ": '" + value + "' is not one of " + allowed_text);
        return allowed.front();
    }

    void add_fault(std::string text) { this->faults.push_back(std::move(text)); }

    void throw_if_faulty() const
    {
        if (this->faults.empty()) {
            return;
        }
        std::string all = std::to_string(this->faults.size()) + " invalid setting(s):";
        for (const auto& fault : this->faults) {
            all += "\n  " + fault;
        }
        throw settings_error(all);
    }

private:
    double validated_number(const number_setting& setting)
    {
        const auto value = this->values[setting.name].as<double>();
        if (value < setting.minimum || value > setting.maximum) {
            std::ostringstream text;
            text << "--" << setting.name << ": " << value << " is outside the range " << setting.minimum
                 << " to " << setting.maximum << " (" << setting.help << ")";
            this->faults.push_back(text.str());
        }
        return value;
    }

    http::endpoint parsed_endpoint(const char* name, const std::string& text)
    {
        try {
            return http::parse_endpoint(text);
        } catch (const error& failure) {
            this->faults.push_back("--" + std::string(name) + ": " + failure.what());
            return {};
        }
    }

    const options::variables_map& values;
    std::vector<std::string> faults;
};

void read_identity(settings_reader& reader, daemon_configuration& configuration)
{
    configuration.self.id = instance_id(reader.required("id"));
    configuration.self.region = region_id(reader.required("region"));
    configuration.self.domain = domain_id(reader.required("domain"));
    configuration.caller_listen = reader.endpoint("caller-listen");
    configuration.peer_listen = reader.endpoint("peer-listen");
    configuration.operations_listen = reader.endpoint("operations-listen");
    configuration.store = reader.endpoint("store");
    configuration.seed_peers = reader.endpoints("seed-peers");
    const char* key = std::getenv(peer_key_variable.data());
    configuration.peer_key = key == nullptr ? "" : key;
    if (configuration.peer_key.empty()) {
        reader.add_fault("BTH_PEER_KEY: must be set in the environment (shared key of the entry instances)");
    }
}

void read_policy(settings_reader& reader, node::node_configuration& node)
{
    using std::chrono::microseconds;
    node.steering.policy = reader.one_of("weigh", {"headroom", "latency"}) == "latency"
                               ? steering::steering_policy::latency
                               : steering::steering_policy::headroom;
    node.steering.domain_distance =
        microseconds(static_cast<std::int64_t>(reader.number("domain-distance-ms") * 1000));
    node.steering.region_distance =
        microseconds(static_cast<std::int64_t>(reader.number("region-distance-ms") * 1000));
    node.shift.link_bytes_per_second = reader.number("link-mbit") * bits_per_megabit / bits_per_byte;
    node.shift.cap_fraction = reader.number("shift-cap-percent") / 100;
    node.shift.ramp_time = reader.milliseconds("shift-ramp-ms");
    node.admission.headroom_fraction = reader.number("headroom-percent") / 100;
    node.admission.slow_start_time = reader.milliseconds("slow-start-ms");
    node.membership.heartbeat_interval = reader.milliseconds("heartbeat-ms");
    node.membership.gone_timeout = reader.milliseconds("gone-after-ms");
    node.membership.domain_targets = static_cast<std::size_t>(reader.number("heartbeat-targets"));
    node.membership.random_targets = node.membership.domain_targets;
    node.membership.max_gossip_records = static_cast<std::size_t>(reader.number("gossip-records"));
    node.lookup_ttl = reader.milliseconds("lookup-ttl-ms");
    node.leave_linger = reader.milliseconds("linger-ms");
    node.freeze_threshold = node.membership.gone_timeout / 2;
    node.shift.view_settle_time = node.membership.gone_timeout + node.membership.heartbeat_interval;
    if (node.leave_linger < node.lookup_ttl) {
        reader.add_fault("--linger-ms: must be at least --lookup-ttl-ms, because callers use look-up "
                         "responses for that time");
    }
    if (node.membership.gone_timeout < 3 * node.membership.heartbeat_interval) {
        reader.add_fault("--gone-after-ms: must be at least three times --heartbeat-ms");
    }
}

void read_limits(settings_reader& reader, daemon_configuration& configuration)
{
    configuration.default_deadline = reader.milliseconds("default-deadline-ms");
    configuration.max_deadline = reader.milliseconds("max-deadline-ms");
    configuration.caller_limits.max_body_bytes = static_cast<std::size_t>(reader.number("max-body-bytes"));
    configuration.caller_limits.max_connections = static_cast<std::size_t>(reader.number("max-connections"));
    configuration.caller_limits.header_timeout = reader.milliseconds("request-timeout-ms");
    configuration.caller_limits.body_timeout = configuration.caller_limits.header_timeout;
    configuration.peer_limits.max_body_bytes = configuration.caller_limits.max_body_bytes + (4U << 20);
    configuration.availability_objective = reader.number("availability-percent") / 100;
    configuration.latency_objective = reader.milliseconds("latency-objective-ms");
    const auto level = reader.one_of("log-level", {"info", "debug", "warning", "error"});
    configuration.log.threshold = level == "debug"     ? log::severity::debug
                                  : level == "warning" ? log::severity::warning
                                  : level == "error"   ? log::severity::error
                                                       : log::severity::info;
    configuration.log.json_lines = reader.one_of("log-format", {"text", "json"}) == "json";
    if (configuration.default_deadline > configuration.max_deadline) {
        reader.add_fault("--default-deadline-ms: must not exceed --max-deadline-ms");
    }
}

std::string format_values(const options::variables_map& values)
{
    std::ostringstream text;
    for (const auto& [name, value] : values) {
        if (const auto* number = boost::any_cast<double>(&value.value())) {
            text << name << " = " << *number << "\n";
        } else if (const auto* word = boost::any_cast<std::string>(&value.value())) {
            text << name << " = " << *word << "\n";
        }
    }
    return text.str();
}
} // namespace

parsed_settings parse_settings(int argc, const char* const* argv)
{
    const auto description = describe_options();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description, command_line_style), values);
        options::store(options::parse_environment(description,
                                                  [&](const std::string& variable) {
                                                      const auto flag = flag_of_variable(variable);
                                                      const bool is_known =
                                                          !flag.empty() &&
                                                          description.find_nothrow(flag, false) != nullptr;
                                                      return is_known ? flag : std::string{};
                                                  }),
                       values);
    } catch (const options::error& failure) {
        throw settings_error(std::string("settings: ") + failure.what());
    }
    parsed_settings parsed;
    if (values.count("help") > 0) {
        std::ostringstream text;
        text << description;
        parsed.request = startup_request::help;
        parsed.text = text.str();
        return parsed;
    }
    if (values.count("version") > 0) {
        parsed.request = startup_request::version;
        return parsed;
    }
    settings_reader reader(values);
    read_identity(reader, parsed.configuration);
    read_policy(reader, parsed.configuration.node);
    read_limits(reader, parsed.configuration);
    reader.throw_if_faulty();
    if (values.count("check") > 0) {
        parsed.request = startup_request::check;
    } else if (values.count("print-settings") > 0) {
        parsed.request = startup_request::print_settings;
        parsed.text = format_values(values);
    }
    return parsed;
}
} // namespace buckthornhill::daemon
