#pragma once

#include <chrono>
#include <string>

#include "global/ids.h"
#include "http/http_types.h"
#include "lists/lists_types.h"

//! The platform's object API: versions, conditional updates and watches; its list of instances lags.
namespace buckthornhill::store {
//! One thing the store said, on its way to the decisions.
struct store_event
{
    enum class event_kind { document, all_read };

    event_kind kind = event_kind::document;
    lists::document_name name = lists::document_name::plans;
    object_version version; //!< 0 when the store has no such object
    std::string body;
};

struct watcher_configuration
{
    std::chrono::milliseconds watch_time{20000};  //!< one waiting call
    std::chrono::milliseconds call_timeout{3000}; //!< beyond the watch time
    std::chrono::milliseconds min_backoff{200};
    std::chrono::milliseconds max_backoff{2000};
};

//! Version that the object API gave with an answer; 0 when there is none.
object_version version_in(const http::http_response& response);
//! Path of a document in the object API.
std::string path_of_document(lists::document_name name);
} // namespace buckthornhill::store
