#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "http/http_types.h"

//! The operators' command-line tool: edits the lists, starts and stops drains, shows state and reports.
namespace buckthornhill::operators {
struct operators_configuration
{
    std::string store;                       //!< address:port of the platform's object API
    std::vector<std::string> entries;        //!< caller addresses of entry instances, for `lookup` and `call`
    std::string operator_name;               //!< recorded with every edit
    std::chrono::milliseconds timeout{3000}; //!< for one HTTP request
    std::chrono::milliseconds wait{14000};   //!< for `--wait`
    bool is_json = false;
    bool is_dry_run = false;
    bool waits_until_in_force = false;
    std::uint64_t expected_version =
        0; //!< version that the operator read; without `has_expected_version`, the newest is used
    bool has_expected_version = false;
    std::string region;
    std::string method = "GET";
    std::string body;
    std::string customer;
    std::string report_page_file; //!< where `report burn` writes its page
};

struct parsed_command
{
    std::vector<std::string> words; //!< the command and its arguments
    operators_configuration configuration;
    std::string help; //!< the help text when help was requested, otherwise empty
};

//! Reads flags and `BTH_<FLAG>` variables. Throws `operators_error` with the usage status.
parsed_command parse_command(int argc, const char* const* argv);
} // namespace buckthornhill::operators
