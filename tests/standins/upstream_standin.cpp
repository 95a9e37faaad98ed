#include "upstream_standin.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/http_server.h"

namespace buckthornhill::standins {
namespace {
constexpr std::string_view crash_marker = "crash-upstream";
constexpr std::size_t max_cached_targets = 512;
constexpr unsigned status_shed = 503;
} // namespace

upstream_standin::upstream_standin(boost::asio::io_context& io, ownership::upstream_description description,
                                   const upstream_behavior& settings, execution_log& runs)
    : context(io)
    , upstream(std::move(description))
    , behavior(settings)
    , log(runs)
{
    this->start_server(0);
}

upstream_standin::~upstream_standin() = default;

void upstream_standin::start_server(unsigned short requested_port)
{
    this->server = std::make_unique<http::http_server>(
        this->context, http::endpoint{"127.0.0.1", requested_port}, http::server_limits{},
        [this](const http::exchange_ptr& exchange) { this->on_request(exchange); });
    this->port = this->server->local_endpoint().port;
    this->upstream.address = this->server->local_endpoint().str();
}

http::http_response upstream_standin::response_to(const http::http_request& request, unsigned status) const
{
    http::http_response response;
    response.status = status;
    const auto id = http::find_header(request.headers, "Request-Id");
    if (!id.empty()) {
        response.headers.emplace_back("Request-Id", std::string(id));
    }
    response.headers.emplace_back("Upstream-Load", std::to_string(this->in_use));
    if (this->is_draining) {
        response.headers.emplace_back("Upstream-Draining", "1");
    }
    return response;
}

void upstream_standin::on_request(const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    if (request.target == "/.health") {
        exchange->respond(this->response_to(request, 200));
        return;
    }
    if (this->in_use >= this->upstream.slots.value()) {
        ++this->totals.sheds;
        auto response = this->response_to(request, status_shed);
        response.headers.emplace_back("Upstream-Shed", "1");
        exchange->respond(std::move(response));
        return;
    }
    const auto order = http::find_header(request.headers, "Order-Id");
    if (!order.empty()) {
        ++this->log[std::string(order)];
    }
    ++this->totals.runs;
    this->totals.runs_while_draining += this->is_draining ? 1 : 0;
    if (request.target.find(crash_marker) != std::string::npos) {
        this->crash();
        return;
    }
    this->run(exchange);
}

void upstream_standin::run(const http::exchange_ptr& exchange)
{
    ++this->in_use;
    this->totals.max_in_use = std::max(this->totals.max_in_use, this->in_use);
    const bool is_cold = this->cache.insert(exchange->request().target).second;
    if (this->cache.size() > max_cached_targets) {
        this->cache.erase(this->cache.begin());
    }
    const auto processing_time =
        std::chrono::microseconds(this->behavior.service_us + (is_cold ? this->behavior.cold_us : 0));
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, processing_time);
    auto is_cancelled = std::make_shared<bool>(false);
    const auto started_generation = this->generation;
    exchange->on_cancelled([this, timer, is_cancelled, started_generation] {
        *is_cancelled = true;
        timer->cancel();
        if (started_generation == this->generation) {
            ++this->totals.cancelled;
            --this->in_use;
        }
    });
    timer->async_wait(
        [this, exchange, timer, is_cancelled, started_generation](const boost::system::error_code&) {
            if (!*is_cancelled && started_generation == this->generation) {
                this->finish(exchange);
            }
        });
}

void upstream_standin::finish(const http::exchange_ptr& exchange)
{
    --this->in_use;
    const auto& request = exchange->request();
    auto response = this->response_to(request, 200);
    response.headers.emplace_back("Content-Type", "text/plain");
    response.headers.emplace_back("Answer-To", std::string(http::find_header(request.headers, "Order-Id")));
    response.body = request.target + " by " + this->upstream.id.str() + "\n";
    if (response.body.size() < this->behavior.body_bytes) {
        response.body.append(this->behavior.body_bytes - response.body.size(), '.');
    }
    exchange->respond(std::move(response));
}

void upstream_standin::crash()
{
    ++this->totals.crashes;
    ++this->generation;
    this->in_use = 0;
    this->cache.clear();
    boost::asio::post(this->context, [this] {
        this->server.reset();
        auto timer = std::make_shared<boost::asio::steady_timer>(
            this->context, std::chrono::milliseconds(this->behavior.restart_ms));
        timer->async_wait(
            [this, timer](const boost::system::error_code&) { this->start_server(this->port); });
    });
}
} // namespace buckthornhill::standins
