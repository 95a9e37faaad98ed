#pragma once

#include <string>

#include "routing/routing_types.h"

namespace buckthornhill::configuration_check {
//! Values of a configuration as findings show them. Different values always give different texts.
std::string text_of(std::chrono::milliseconds time);
std::string text_of(double number);
std::string text_of(std::int64_t number);
std::string text_of(std::size_t number);
std::string text_of(int number);
std::string text_of(bool value);
std::string text_of(const std::string& text);
std::string text_of(routing::repeat_rule rule);
std::string text_of(const std::set<region_id>& regions);
std::string text_of(const std::vector<routing::service_share>& shares);
//! In hexadecimal, as in the stored object.
std::string text_of(routing::configuration_version version);
} // namespace buckthornhill::configuration_check
