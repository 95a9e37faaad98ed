#pragma once

#include <functional>
#include <optional>
#include <string>

#include "http/http_types.h"
#include "lists/list_edit.h"
#include "lists/lists_types.h"
#include "operators/operators_types.h"

namespace buckthornhill::operators {
struct stored_document
{
    object_version version; //!< 0 when the store has no such object
    std::string body;       //!< an empty list when the store has no such object
};

//! Client of the platform's object API.
class store_access
{
public:
    explicit store_access(const operators_configuration& configuration);

    //! Throws `operators_error` when the store does not respond.
    stored_document read(lists::document_name name) const;
    //! Replaces `base` by `body`. When the response is lost, reads the document to find out whether the write
    //! took effect.
    lists::list_edit write(lists::document_name name, const stored_document& base,
                           const std::string& body) const;

private:
    std::optional<stored_document> try_read(lists::document_name name) const;
    std::pair<lists::write_response, object_version>
    try_write(lists::document_name name, object_version expected, const std::string& body) const;

    const operators_configuration& configuration;
    http::endpoint store;
};
} // namespace buckthornhill::operators
