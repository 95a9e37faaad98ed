#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http_types.h"
#include "store/collection_types.h"
#include "store/collection_watcher_configuration.h"
#include "store/list_cursor.h"

namespace boost::asio {
class io_context;
}
namespace buckthornhill::http {
class http_client;
struct call_result;
} // namespace buckthornhill::http

namespace buckthornhill::store {
//! Writes this instance's object into the store, and again when the store came back from a copy that may lack
//! it.
class instance_registration
{
public:
    instance_registration(boost::asio::io_context& context, http::http_client& client, http::endpoint server,
                          store_dialect dialect, const collection_watcher_configuration& configuration,
                          std::function<void(const http::http_response&)> on_response);
    ~instance_registration();
    instance_registration(const instance_registration&) = delete;
    instance_registration& operator=(const instance_registration&) = delete;

    //! Creates or replaces the object, with retries. `is_older`: whether an object that is in the store may
    //! be replaced after a restore.
    void publish(const std::string& name, const std::string& body,
                 std::function<bool(const stored_object&)> is_older);
    //! Creates the object if it is absent, and replaces it only if it is older.
    void restore();
    //! Removes the object, without retries because the process is about to end.
    void withdraw(const std::string& name);

private:
    void put(bool exists, bool is_restore);
    void on_put(const http::call_result& result, bool exists, bool is_restore);
    //! Looks for this instance's object on the next page of the list.
    void compare();
    void on_page(const http::call_result& result);
    void retry(bool is_restore);

    struct timer;

    http::http_client& client;
    http::endpoint server;
    store_dialect dialect;
    collection_watcher_configuration configuration;
    std::function<void(const http::http_response&)> response_hook;
    std::function<bool(const stored_object&)> is_replaceable;
    std::unique_ptr<timer> retry_timer;
    std::string name;
    std::string body;
    list_cursor cursor;
};
} // namespace buckthornhill::store
