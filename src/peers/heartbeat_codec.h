#pragma once

#include <string>
#include <string_view>

#include "peers/peers_types.h"

namespace buckthornhill::peers {
std::string encode_heartbeat(const heartbeat& message);
//! Throws `peers_error` that names the invalid field.
heartbeat decode_heartbeat(std::string_view body);

//! Encodes a single report, as it is sent along with a response.
std::string encode_service_report(const admission::service_report& report);
admission::service_report decode_service_report(std::string_view text);

std::string encode_handover(const requests::ticket_handover& handover);
requests::ticket_handover decode_handover(std::string_view body);
} // namespace buckthornhill::peers
