#pragma once

#include <chrono>
#include <string>

#include "global/ids.h"
#include "http/http_types.h"
#include "lists/lists_types.h"

//! Client of the platform's object API, which has versions, conditional updates and watches. Its list of
//! instances is updated with a delay.
namespace buckthornhill::store {
//! An event from the store, passed to the thread that makes the decisions.
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
    std::chrono::milliseconds long_poll_time{20000}; //!< duration of one long poll
    std::chrono::milliseconds call_timeout{3000};    //!< in addition to the duration of a long poll
    std::chrono::milliseconds min_backoff{200};
    std::chrono::milliseconds max_backoff{2000};
};

//! Version in a response of the object API; 0 when it has none.
object_version version_in(const http::http_response& response);
//! Path of a document in the object API.
std::string path_of_document(lists::document_name name);
} // namespace buckthornhill::store
