#include "lists/list_edit.h"

#include <algorithm>

#include "lists/list_codec.h"

namespace buckthornhill::lists {
list_edit::list_edit(object_version version, edit_record edit, int max_attempts)
    : read_version(version)
    , own_edit(std::move(edit))
    , attempts_left(max_attempts)
{
}

void list_edit::finish(edit_result result, object_version version)
{
    this->final_result = result;
    this->final_version = version;
    this->next_step = edit_step::finished;
}

void list_edit::on_write_response(write_response response, object_version version)
{
    if (response == write_response::accepted) {
        this->finish(edit_result::applied, version);
        return;
    }
    //! NOTE A conflict may be caused by an earlier write of this edit whose response was lost.
    this->next_step = edit_step::read_back;
}

void list_edit::on_read_back(const std::optional<std::string>& body, object_version version)
{
    --this->attempts_left;
    if (!body) {
        if (this->attempts_left <= 0) {
            this->finish(edit_result::unknown, object_version{});
        }
        return;
    }
    const auto edits = parse_edits(*body);
    const bool is_found = std::any_of(
        edits.begin(), edits.end(), [this](const edit_record& edit) { return edit.id == this->own_edit.id; });
    if (is_found) {
        this->finish(edit_result::applied, version);
        return;
    }
    if (version != this->read_version) {
        this->finish(edit_result::conflict, version);
        return;
    }
    if (this->attempts_left <= 0) {
        this->finish(edit_result::unknown, object_version{});
        return;
    }
    //! NOTE Writing again is safe: the store accepts only one of two writes based on the same version.
    this->next_step = edit_step::write;
}
} // namespace buckthornhill::lists
