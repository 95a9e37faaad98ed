#include <algorithm>
#include <sstream>

#include <boost/program_options.hpp>

#include "operators/operators_errors.h"
#include "operators/operators_types.h"

namespace buckthornhill::operators {
namespace options = boost::program_options;

namespace {
constexpr const char* usage_text = R"(usage: buckthornhillctl [flags] COMMAND

commands:
  lists get NAME              print plans, quotas or drains with its version
  lists check NAME FILE       check a file as `apply` would, without writing
  lists apply NAME FILE       write plans or quotas; --dry-run shows the forecast, --wait waits for all instances
  lists history NAME          the latest edits: their ids and operators
  calls record CUSTOMER SUBJECT   record that CUSTOMER was called about SUBJECT (drain:ID or quota:REGION/SERVICE)
  drain start ID KIND TARGET  mark a drain of an upstream, domain or region; --dry-run shows who must be called
  drain stop ID               remove a drain mark
  drain status                the drain marks, and the customers to be called
  status                      instances, versions in force, services with headroom
  report burn                 service-level burn by service; --page FILE writes a page with plots
  lookup SERVICE              which entry instances a caller should use
  call TARGET                 send one request, for example /queuedesk/item/1
  explain REQUEST LOG...      show the log lines of a request and of related events, and explain its outcome

exit codes: 0 success; 1 a server failed; 2 invalid usage; 3 another edit came first; 4 rejected, or customer calls are due;
            5 the store did not confirm the edit; 6 accepted, but not in force everywhere yet

flags (or environment variable BTH_<FLAG>):
)";

options::options_description describe_options()
{
    options::options_description description;
    auto add = description.add_options();
    add("help", "print this help");
    add("store", options::value<std::string>()->default_value(""),
        "address:port of the platform's object API");
    add("entries", options::value<std::string>()->default_value(""),
        "caller addresses of entry instances, separated by commas; by default those that the store lists");
    add("by", options::value<std::string>()->default_value(""),
        "name of the operator, recorded with every edit");
    add("timeout-ms", options::value<int>()->default_value(3000),
        "time limit of one HTTP request, in milliseconds");
    add("wait-ms", options::value<int>()->default_value(14000), "time limit of --wait, in milliseconds");
    add("expect", options::value<std::uint64_t>(), "version that the edit is based on");
    add("region", options::value<std::string>()->default_value(""),
        "the caller's region, for lookup and call");
    add("method", options::value<std::string>()->default_value("GET"), "HTTP method, for call");
    add("body", options::value<std::string>()->default_value(""), "request body, for call");
    add("customer", options::value<std::string>()->default_value(""), "customer, for call");
    add("page", options::value<std::string>()->default_value(""),
        "file to which report burn writes its page");
    add("json", "print JSON");
    add("dry-run", "check and show the forecast without writing");
    add("wait", "wait until every live instance reports the new version");
    return description;
}

std::string flag_of_variable(const std::string& variable, const options::options_description& known_options)
{
    constexpr std::string_view prefix = "BTH_";
    if (!variable.starts_with(prefix)) {
        return {};
    }
    std::string flag = variable.substr(prefix.size());
    for (auto& letter : flag) {
        letter = letter == '_' ? '-' : static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    }
    return !flag.empty() && known_options.find_nothrow(flag, false) != nullptr ? flag : std::string{};
}

std::vector<std::string> split_at_commas(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        items.push_back(item);
    }
    return items;
}

std::chrono::milliseconds parse_time_limit(const options::variables_map& values, const char* name)
{
    const auto number = values[name].as<int>();
    if (number < 1 || number > 600000) {
        throw operators_error(exit_status::usage,
                              "--" + std::string(name) + ": must be from 1 to 600000 milliseconds");
    }
    return std::chrono::milliseconds(number);
}

operators_configuration configuration_from(const options::variables_map& values)
{
    operators_configuration configuration;
    configuration.store = values["store"].as<std::string>();
    configuration.entries = split_at_commas(values["entries"].as<std::string>());
    configuration.operator_name = values["by"].as<std::string>();
    configuration.timeout = parse_time_limit(values, "timeout-ms");
    configuration.wait = parse_time_limit(values, "wait-ms");
    configuration.has_expected_version = values.count("expect") > 0;
    configuration.expected_version =
        configuration.has_expected_version ? values["expect"].as<std::uint64_t>() : 0;
    configuration.region = values["region"].as<std::string>();
    configuration.method = values["method"].as<std::string>();
    configuration.body = values["body"].as<std::string>();
    configuration.customer = values["customer"].as<std::string>();
    configuration.report_page_file = values["page"].as<std::string>();
    configuration.is_json = values.count("json") > 0;
    configuration.is_dry_run = values.count("dry-run") > 0;
    configuration.waits_until_in_force = values.count("wait") > 0;
    return configuration;
}
} // namespace

parsed_command parse_command(int argc, const char* const* argv)
{
    const auto visible = describe_options();
    options::options_description all;
    all.add(visible).add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description positions;
    positions.add("words", -1);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(argc, argv).options(all).positional(positions).run(),
                       values);
        options::store(
            options::parse_environment(
                visible, [&](const std::string& variable) { return flag_of_variable(variable, visible); }),
            values);
    } catch (const options::error& failure) {
        throw operators_error(exit_status::usage, failure.what());
    }
    parsed_command parsed;
    if (values.count("words") > 0) {
        parsed.words = values["words"].as<std::vector<std::string>>();
    }
    if (values.count("help") > 0 || parsed.words.empty()) {
        std::ostringstream text;
        text << usage_text << visible;
        parsed.help = text.str();
        return parsed;
    }
    parsed.configuration = configuration_from(values);
    return parsed;
}
} // namespace buckthornhill::operators
