#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "http/http_types.h"

//! The operators' tool: edits of the lists, drains, state and reports.
namespace buckthornhill::operators {
struct operators_configuration
{
    std::string store;                       //!< address:port of the platform's object API
    std::vector<std::string> entries;        //!< callers' addresses, for `lookup` and `call`
    std::string operator_name;               //!< named in every edit
    std::chrono::milliseconds timeout{3000}; //!< of one call
    std::chrono::milliseconds wait{14000};   //!< of `--wait`
    bool is_json = false;
    bool is_dry_run = false;
    bool waits_until_in_force = false;
    std::uint64_t expected_version = 0; //!< version that the operator read; 0 takes the newest
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
    std::string help; //!< not empty when help was asked for
};

//! Reads flags and `BTH_<FLAG>` variables. Throws `operators_error` with the usage status.
parsed_command parse_command(int argc, const char* const* argv);
} // namespace buckthornhill::operators
