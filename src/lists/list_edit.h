#pragma once

#include <optional>
#include <string>

#include "lists/lists_types.h"

namespace buckthornhill::lists {
enum class edit_step { write, read_back, finished };

enum class edit_result {
    applied,
    conflict, //!< another edit was written first; nothing was merged
    unknown   //!< the store did not answer; the edit may or may not take effect
};

enum class write_response { accepted, version_conflict, lost };

//! One operator's edit of a document, written as a conditional update that tolerates lost responses.
//! After a lost response the document is read back and searched for the edit's id.
class list_edit
{
public:
    list_edit(object_version read_version, edit_record edit, int max_attempts);

    edit_step step() const { return this->next_step; }
    object_version expected_version() const { return this->read_version; }
    const edit_record& edit() const { return this->own_edit; }
    edit_result result() const { return this->final_result; }
    object_version applied_version() const { return this->final_version; }

    void on_write_response(write_response response, object_version version);
    //! `body` has no value when the store did not answer the read.
    void on_read_back(const std::optional<std::string>& body, object_version version);

private:
    void finish(edit_result result, object_version version);

    object_version read_version;
    edit_record own_edit;
    int attempts_left;
    edit_step next_step = edit_step::write;
    edit_result final_result = edit_result::unknown;
    object_version final_version;
};
} // namespace buckthornhill::lists
