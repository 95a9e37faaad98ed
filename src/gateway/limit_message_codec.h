#pragma once

#include <string>
#include <vector>

#include "rate_limits/rate_limits_types.h"

namespace buckthornhill::gateway {
std::string encode_ask_message(const rate_limits::ask_message& message);
//! Throws `gateway_error`.
rate_limits::ask_message decode_ask_message(const std::string& text);
std::string encode_grants(const std::vector<rate_limits::token_grant>& grants);
//! Throws `gateway_error`.
std::vector<rate_limits::token_grant> decode_grants(const std::string& text);
} // namespace buckthornhill::gateway
