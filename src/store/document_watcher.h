#pragma once

#include <functional>
#include <map>
#include <memory>

#include "global/units.h"
#include "http/http_types.h"
#include "store/store_types.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::http {
class http_client;
struct call_result;
} // namespace buckthornhill::http

namespace buckthornhill::store {
//! Keeps one long poll open for each document, and polls with a backoff while the store fails.
class document_watcher
{
public:
    //! Returns false when the event could not be accepted; the next poll then delivers it again.
    using event_sink = std::function<bool(store_event)>;

    document_watcher(boost::asio::io_context& context, http::endpoint store,
                     const watcher_configuration& configuration, event_sink sink, random_hook random);
    ~document_watcher();
    document_watcher(const document_watcher&) = delete;
    document_watcher& operator=(const document_watcher&) = delete;

    void start();

private:
    struct watch;

    void call(lists::document_name name);
    void on_result(lists::document_name name, const http::call_result& result);
    bool deliver(lists::document_name name, const http::call_result& result);
    void retry_later(lists::document_name name);
    void report_when_all_read();

    boost::asio::io_context& context;
    http::endpoint store;
    watcher_configuration configuration;
    event_sink sink;
    random_hook random;
    std::unique_ptr<http::http_client> client;
    std::map<lists::document_name, std::unique_ptr<watch>> watches;
};
} // namespace buckthornhill::store
