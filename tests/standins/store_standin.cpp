#include "store_standin.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "global/error.h"
#include "global/json_reader.h"
#include "http/http_server.h"

namespace buckthornhill::standins {
namespace json = boost::json;

namespace {
constexpr std::string_view object_prefix = "/v1/objects/";
const std::string instances_name = "instances";

std::uint64_t parse_number_or(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

http::http_response response_with(unsigned status, std::string body, std::uint64_t version)
{
    http::http_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.headers.emplace_back("X-Version", std::to_string(version));
    response.body = std::move(body);
    return response;
}
} // namespace

store_standin::store_standin(boost::asio::io_context& io, unsigned short port)
    : context(io)
    , server(std::make_unique<http::http_server>(
          io, http::endpoint{"127.0.0.1", port}, http::server_limits{},
          [this](const http::exchange_ptr& exchange) { this->on_request(exchange); }))
{
}

store_standin::~store_standin() = default;

http::endpoint store_standin::local_endpoint() const
{
    return this->server->local_endpoint();
}

void store_standin::on_request(const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    const auto path = http::path_of(request.target);
    if (path.starts_with("/control/")) {
        this->on_control(exchange, path);
        return;
    }
    if (this->faults.is_down) {
        return;
    }
    if (path == "/v1/instances") {
        this->on_read(exchange, instances_name);
    } else if (path == "/v1/objects") {
        this->on_list(exchange);
    } else if (path.starts_with(object_prefix) && request.method == "GET") {
        this->on_read(exchange, std::string(path.substr(object_prefix.size())));
    } else if (path.starts_with(object_prefix) && request.method == "PUT") {
        this->on_write(exchange, std::string(path.substr(object_prefix.size())));
    } else {
        this->respond(exchange, response_with(404, "{}", 0));
    }
}

void store_standin::on_read(const http::exchange_ptr& exchange, const std::string& name)
{
    ++this->reads;
    const auto& target = exchange->request().target;
    const auto after = http::query_value(target, "after");
    const auto wait_ms = static_cast<int>(parse_number_or(http::query_value(target, "wait_ms"), 0));
    auto& object = this->objects[name];
    const bool is_unchanged = !after.empty() && parse_number_or(after, 0) == object.version;
    if (is_unchanged && wait_ms > 0) {
        this->hold_until_changed(exchange, name, wait_ms);
        return;
    }
    this->respond_with_object(exchange, object);
}

void store_standin::hold_until_changed(const http::exchange_ptr& exchange, const std::string& name,
                                       int wait_ms)
{
    this->objects[name].watchers.push_back(exchange);
    auto timer =
        std::make_shared<boost::asio::steady_timer>(this->context, std::chrono::milliseconds(wait_ms));
    timer->async_wait([this, timer, exchange, name](const boost::system::error_code&) {
        auto& watchers = this->objects[name].watchers;
        const auto found = std::find(watchers.begin(), watchers.end(), exchange);
        if (found != watchers.end()) {
            watchers.erase(found);
            this->respond(exchange, response_with(304, "", this->objects[name].version));
        }
    });
    exchange->on_cancelled([this, name, cancelled_exchange = exchange.get()] {
        std::erase_if(this->objects[name].watchers,
                      [cancelled_exchange](const http::exchange_ptr& candidate) {
                          return candidate.get() == cancelled_exchange;
                      });
    });
}

void store_standin::respond_with_object(const http::exchange_ptr& exchange, const stored_object& object)
{
    const bool exists = object.version > 0;
    this->respond(exchange, response_with(exists ? 200 : 404, exists ? object.body : "{}", object.version));
}

void store_standin::respond(const http::exchange_ptr& exchange, http::http_response response)
{
    if (this->faults.is_down) {
        return;
    }
    if (this->faults.slow_ms == 0) {
        exchange->respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context,
                                                             std::chrono::milliseconds(this->faults.slow_ms));
    timer->async_wait(
        [timer, exchange, response](const boost::system::error_code&) { exchange->respond(response); });
}

void store_standin::update_object(const std::string& name, std::string body)
{
    auto& object = this->objects[name];
    ++object.version;
    object.body = std::move(body);
    const auto watchers = std::exchange(object.watchers, {});
    for (const auto& exchange : watchers) {
        this->respond_with_object(exchange, object);
    }
}

void store_standin::on_write(const http::exchange_ptr& exchange, const std::string& name)
{
    ++this->writes;
    const auto& object = this->objects[name];
    const auto expected = http::find_header(exchange->request().headers, "If-Match");
    if (expected.empty() || parse_number_or(expected, 0) != object.version) {
        this->respond(exchange, response_with(412, "{}", object.version));
        return;
    }
    this->update_object(name, exchange->request().body);
    if (this->faults.lost_write_answers > 0) {
        --this->faults.lost_write_answers;
        return;
    }
    this->respond(exchange, response_with(200, "{}", object.version));
}

void store_standin::on_list(const http::exchange_ptr& exchange)
{
    ++this->reads;
    const auto prefix = http::query_value(exchange->request().target, "prefix");
    json::array listed;
    for (const auto& [name, object] : this->objects) {
        if (object.version > 0 && name.starts_with(prefix)) {
            listed.push_back({{"name", name}, {"version", object.version}});
        }
    }
    this->respond(exchange, response_with(200, json::serialize(listed), 0));
}

void store_standin::on_control(const http::exchange_ptr& exchange, std::string_view path)
{
    const auto& request = exchange->request();
    if (path == "/control/counts") {
        exchange->respond(response_with(
            200, json::serialize(json::value{{"reads", this->reads}, {"writes", this->writes}}), 0));
        return;
    }
    if (path == "/control/instances") {
        if (this->faults.is_list_stale) {
            this->unpublished_instances = request.body;
        } else {
            this->update_object(instances_name, request.body);
        }
        exchange->respond(response_with(200, "{}", this->objects[instances_name].version));
        return;
    }
    try {
        const auto value = parse_json(request.body, "faults");
        const json_reader reader(value, "faults");
        this->faults.is_down = reader.flag_or("down", false);
        this->faults.slow_ms = static_cast<int>(reader.integer_or("slow_ms", 0));
        this->faults.lost_write_answers = static_cast<int>(reader.integer_or("lost_write_answers", 0));
        this->faults.is_list_stale = reader.flag_or("list_stale", false);
    } catch (const error& failure) {
        exchange->respond(response_with(400, failure.what(), 0));
        return;
    }
    if (this->faults.is_down) {
        for (auto& [name, object] : this->objects) {
            object.watchers.clear();
        }
    }
    if (!this->faults.is_list_stale && !this->unpublished_instances.empty()) {
        this->update_object(instances_name, std::exchange(this->unpublished_instances, {}));
    }
    exchange->respond(response_with(200, "{}", 0));
}
} // namespace buckthornhill::standins
