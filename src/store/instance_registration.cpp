#include "store/instance_registration.h"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "global/error.h"
#include "global/log.h"
#include "http/http_client.h"

namespace buckthornhill::store {
namespace {
constexpr std::string_view log_part = "store";
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned first_failure_status = 300;

time_point now()
{
    return std::chrono::steady_clock::now();
}

bool has_status(const http::call_result& result, unsigned status)
{
    return result.status == http::call_status::complete && result.response.status == status;
}
} // namespace

struct instance_registration::timer : boost::asio::steady_timer
{
    using boost::asio::steady_timer::steady_timer;
};

instance_registration::instance_registration(boost::asio::io_context& context, http::http_client& http_client,
                                             http::endpoint address, store_dialect spelling,
                                             const collection_watcher_configuration& settings,
                                             std::function<void(const http::http_response&)> on_response)
    : client(http_client)
    , server(std::move(address))
    , dialect(std::move(spelling))
    , configuration(settings)
    , response_hook(std::move(on_response))
    , retry_timer(std::make_unique<timer>(context))
{
}

instance_registration::~instance_registration() = default;

void instance_registration::publish(const std::string& own_name, const std::string& own_body,
                                    std::function<bool(const stored_object&)> is_older)
{
    this->name = own_name;
    this->body = own_body;
    this->is_replaceable = std::move(is_older);
    this->put(false, false);
}

void instance_registration::restore()
{
    if (!this->name.empty()) {
        this->retry_timer->cancel();
        this->put(false, true);
    }
}

void instance_registration::put(bool exists, bool is_restore)
{
    if (this->name.empty()) {
        return;
    }
    this->client.send(this->server, this->dialect.put(collection::instances, this->name, this->body, exists),
                      now() + this->configuration.list_timeout, http::connection_choice::reuse,
                      [this, exists, is_restore](const http::call_result& result) {
                          this->on_put(result, exists, is_restore);
                      });
}

void instance_registration::on_put(const http::call_result& result, bool exists, bool is_restore)
{
    const bool is_complete = result.status == http::call_status::complete;
    if (is_complete && result.response.status < first_failure_status) {
        log::info(log_part, "Registered this instance in the store as " + this->name + ".");
    } else if (has_status(result, status_conflict) && !exists && is_restore) {
        this->cursor.reset();
        this->compare();
    } else if (has_status(result, status_conflict) && !exists) {
        //! NOTE Replaces the object if it is left from an earlier run, or from a create request whose
        //! response was lost.
        this->put(true, is_restore);
    } else {
        this->retry(is_restore);
    }
    if (is_complete) {
        this->response_hook(result.response);
    }
}

void instance_registration::compare()
{
    this->client.send(this->server, this->dialect.list(collection::instances, this->cursor.after(), false),
                      now() + this->configuration.list_timeout, http::connection_choice::reuse,
                      [this](const http::call_result& result) { this->on_page(result); });
}

void instance_registration::on_page(const http::call_result& result)
{
    if (!has_status(result, status_ok)) {
        this->retry(true);
        return;
    }
    try {
        const auto page = this->dialect.decode_page(result.response.body);
        const auto own = std::ranges::find(page.objects, this->name, &stored_object::name);
        if (own != page.objects.end()) {
            if (!this->is_replaceable || this->is_replaceable(*own)) {
                this->put(true, true);
            }
        } else if (this->cursor.advance(page) == list_cursor::step::next_page) {
            this->compare();
        } else {
            this->retry(true);
        }
    } catch (const buckthornhill::error& failure) {
        log::warning(log_part, std::string("Could not parse the list of instances: ") + failure.what() + ".");
        this->retry(true);
    }
}

void instance_registration::retry(bool is_restore)
{
    this->retry_timer->expires_after(this->configuration.max_backoff);
    this->retry_timer->async_wait([this, is_restore](const boost::system::error_code& failure) {
        if (!failure) {
            this->put(false, is_restore);
        }
    });
}

void instance_registration::withdraw(const std::string& own_name)
{
    this->name.clear();
    this->retry_timer->cancel();
    this->client.send(this->server, this->dialect.remove(collection::instances, own_name),
                      now() + this->configuration.list_timeout, http::connection_choice::reuse,
                      [](const http::call_result& result) {
                          if (result.status != http::call_status::complete) {
                              log::warning(log_part, "Could not remove this instance from the store: " +
                                                         result.detail + ".");
                          }
                      });
}
} // namespace buckthornhill::store
