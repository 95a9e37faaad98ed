#pragma once

#include <string>

#include "placement/object_plan_types.h"

namespace buckthornhill::gateway {
std::string encode_plan_report(const placement::plan_report& report);
//! Throws `gateway_error`.
placement::plan_report decode_plan_report(const std::string& text);
std::string encode_plan_reply(const placement::plan_reply& reply);
//! Throws `gateway_error`.
placement::plan_reply decode_plan_reply(const std::string& text);
} // namespace buckthornhill::gateway
