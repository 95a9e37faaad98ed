#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/json/array.hpp>

#include "quarantine/quarantine_types.h"

namespace buckthornhill::gateway {
//! What an instance tells another one about requests that crash upstreams.
struct crash_message
{
    std::vector<quarantine::crash_note> notes;       //!< for the receiver to count
    std::vector<quarantine::suspect_report> reports; //!< requests that are quarantined
    std::vector<fingerprint> cleared;                //!< requests that completed
    std::optional<fingerprint> trial;                //!< asks whether this suspect may run now
    std::optional<fingerprint> ended_trial;          //!< was let run and has ended without having run
};

struct crash_response
{
    std::vector<quarantine::suspect_report> reports; //!< what the sender knows of the requests in the notes
    std::vector<fingerprint> refuted;                //!< reported requests that completed there
    bool is_trial_granted = false;
};

std::string encode_crash_message(const crash_message& message);
//! Throws `gateway_error`.
crash_message decode_crash_message(const std::string& text);
std::string encode_crash_response(const crash_response& response);
//! Throws `gateway_error`.
crash_response decode_crash_response(const std::string& text);

boost::json::array encode_suspect_reports(const std::vector<quarantine::suspect_report>& reports);
//! Throws any exception when `array` is malformed.
std::vector<quarantine::suspect_report> decode_suspect_reports(const boost::json::array& array);
} // namespace buckthornhill::gateway
