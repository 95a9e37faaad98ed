#pragma once

#include <string>
#include <string_view>

#include "lists/lists_types.h"

//! Reads and writes the documents as JSON. Every function throws `lists_error` that names the invalid field.
namespace buckthornhill::lists {
std::string_view to_string(document_name name);
document_name parse_document_name(std::string_view text);
std::string_view to_string(drain_target_kind kind);

plans_list parse_plans(std::string_view body);
quotas_list parse_quotas(std::string_view body);
drains_list parse_drains(std::string_view body);
//! Each entry and upstream has a writer of its own: those that cannot be read are left out.
instances_list parse_instances(std::string_view body);
std::vector<edit_record> parse_edits(std::string_view body);
//! Returns `body` with `edit` appended to its edits; beyond a maximum the oldest edits are dropped.
std::string with_edit(std::string_view body, const edit_record& edit);
} // namespace buckthornhill::lists
