#include "operators/operators_module.h"

#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "lists/list_codec.h"
#include "operators/list_commands.h"
#include "operators/operators_errors.h"
#include "operators/report_commands.h"
#include "operators/request_history.h"
#include "operators/traffic_commands.h"

namespace buckthornhill::operators {
namespace {
std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw operators_error(exit_status::usage, path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

lists::document_name parse_document_argument(const std::string& word)
{
    try {
        return lists::parse_document_name(word);
    } catch (const error& failure) {
        throw operators_error(exit_status::usage, failure.what());
    }
}

using arguments = std::vector<std::string>;

struct command_entry
{
    std::size_t argument_count;
    std::function<std::string(const arguments&)> run;
};

//! Reads only log files, so it needs neither the store nor an instance.
std::string explain(const arguments& words, bool is_json)
{
    constexpr std::size_t min_word_count = 3;
    if (words.size() < min_word_count) {
        throw operators_error(exit_status::usage,
                              "'explain' takes the id of a request and at least one log; see --help");
    }
    request_history history(words[1]);
    for (auto path = words.begin() + 2; path != words.end(); ++path) {
        std::ifstream log(*path);
        if (!log) {
            throw operators_error(exit_status::usage, *path + ": cannot be read");
        }
        history.read_log(*path, log);
    }
    if (!history.is_found()) {
        throw operators_error(exit_status::failure, "no log contains the request " + words[1]);
    }
    history.select_lines();
    return history.text(is_json);
}

using command_map = std::map<std::string, command_entry>;

command_map make_commands(const list_commands& lists, const report_commands& reports,
                          const traffic_commands& traffic)
{
    return {
        {"lists get",
         {1, [&](const arguments& words) { return lists.get(parse_document_argument(words[0])); }}},
        {"lists history",
         {1, [&](const arguments& words) { return lists.history(parse_document_argument(words[0])); }}},
        {"lists check",
         {2,
          [&](const arguments& words) {
              return lists.check(parse_document_argument(words[0]), read_file(words[1]));
          }}},
        {"lists apply",
         {2,
          [&](const arguments& words) {
              return lists.apply(parse_document_argument(words[0]), read_file(words[1]));
          }}},
        {"calls record", {2, [&](const arguments& words) { return lists.record_call(words[0], words[1]); }}},
        {"drain start",
         {3, [&](const arguments& words) { return lists.start_drain(words[0], words[1], words[2]); }}},
        {"drain stop", {1, [&](const arguments& words) { return lists.stop_drain(words[0]); }}},
        {"drain status", {0, [&](const arguments&) { return reports.drain_status(); }}},
        {"status", {0, [&](const arguments&) { return reports.status(); }}},
        {"report burn", {0, [&](const arguments&) { return reports.burn(); }}},
        {"lookup", {1, [&](const arguments& words) { return traffic.look_up(words[0]); }}},
        {"call", {1, [&](const arguments& words) { return traffic.call(words[0]); }}},
    };
}
} // namespace

std::string run_command(const parsed_command& command)
{
    if (command.words.front() == "explain") {
        return explain(command.words, command.configuration.is_json);
    }
    const store_access store(command.configuration);
    const fleet_access fleet(command.configuration, store);
    const list_commands lists(command.configuration, store);
    const report_commands reports(command.configuration, fleet);
    const traffic_commands traffic(command.configuration, fleet);
    const auto commands = make_commands(lists, reports, traffic);
    const auto& words = command.words;
    auto found = commands.find(words[0]);
    std::size_t command_word_count = 1;
    if (found == commands.end() && words.size() > 1) {
        found = commands.find(words[0] + " " + words[1]);
        command_word_count = 2;
    }
    if (found == commands.end()) {
        throw operators_error(exit_status::usage, "unknown command '" + words[0] + "'; see --help");
    }
    const arguments command_arguments(words.begin() + static_cast<std::ptrdiff_t>(command_word_count),
                                      words.end());
    if (command_arguments.size() != found->second.argument_count) {
        throw operators_error(exit_status::usage, "'" + found->first + "' takes " +
                                                      std::to_string(found->second.argument_count) +
                                                      " argument(s); see --help");
    }
    try {
        return found->second.run(command_arguments);
    } catch (const operators_error&) {
        throw;
    } catch (const error& failure) {
        throw operators_error(exit_status::failure, failure.what());
    }
}
} // namespace buckthornhill::operators
