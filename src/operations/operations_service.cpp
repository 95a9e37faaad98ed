#include "operations/operations_service.h"

#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "http/http_responses.h"
#include "http/http_server.h"

namespace buckthornhill::operations {
namespace {
constexpr std::size_t max_pending_queries = 64;

} // namespace

operations_service::operations_service(boost::asio::io_context& context, const http::endpoint& listen,
                                       std::shared_ptr<prometheus::Registry> metrics,
                                       std::function<bool(status_query)> query)
    : registry(std::move(metrics))
    , send_query(std::move(query))
    , server(std::make_unique<http::http_server>(
          context, listen, http::server_limits{},
          [this](const http::exchange_ptr& exchange) { this->on_request(exchange); }))
{
}

operations_service::~operations_service() = default;

http::endpoint operations_service::local_endpoint() const
{
    return this->server->local_endpoint();
}

void operations_service::on_request(const http::exchange_ptr& exchange)
{
    const auto path = http::path_of(exchange->request().target);
    if (path == "/metrics") {
        http::http_response metrics;
        metrics.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        metrics.body = prometheus::TextSerializer().Serialize(this->registry->Collect());
        exchange->respond(std::move(metrics));
        return;
    }
    if (path != "/status") {
        exchange->respond(http::text_response(404, "expected /status or /metrics"));
        return;
    }
    const status_query query{++this->last_query_id};
    if (this->pending_exchanges.size() >= max_pending_queries || !this->send_query(query)) {
        exchange->respond(http::text_response(503, "too many questions at once"));
        return;
    }
    this->pending_exchanges.emplace(query.id, exchange);
}

void operations_service::on_response(const status_response& response)
{
    const auto pending = this->pending_exchanges.extract(response.id);
    if (!pending.empty()) {
        pending.mapped()->respond(http::json_response(response.body));
    }
}
} // namespace buckthornhill::operations
