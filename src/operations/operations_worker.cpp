#include "operations/operations_worker.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <prometheus/registry.h>

#include "global/bounded_ring.h"
#include "operations/operations_service.h"

namespace buckthornhill::operations {
namespace asio = boost::asio;

namespace {
constexpr std::size_t queue_capacity = 64; //!< the number of status queries that the listener lets wait
}

struct operations_worker::implementation
{
    implementation(const http::endpoint& listen, std::shared_ptr<prometheus::Registry> registry,
                   asio::io_context& request_context, std::function<std::string()> status_provider)
        : make_status(std::move(status_provider))
        , queries(
              queue_capacity,
              [this, &request_context] { asio::post(request_context, [this] { this->process_queries(); }); })
        , responses(queue_capacity,
                    [this] { asio::post(this->context, [this] { this->deliver_responses(); }); })
        , service(this->context, listen, std::move(registry),
                  [this](status_query query) { return this->queries.push(query); })
    {
    }

    void process_queries()
    {
        this->queries.drain([this](const status_query& query) {
            this->responses.push(status_response{query.id, this->make_status()});
        });
    }

    void deliver_responses()
    {
        this->responses.drain(
            [this](const status_response& response) { this->service.on_response(response); });
    }

    asio::io_context context;
    std::function<std::string()> make_status;
    bounded_ring<status_query> queries;
    bounded_ring<status_response> responses;
    operations_service service;
    std::thread thread;
};

operations_worker::operations_worker(const http::endpoint& listen,
                                     std::shared_ptr<prometheus::Registry> registry,
                                     asio::io_context& request_context,
                                     std::function<std::string()> make_status)
    : state(std::make_unique<implementation>(listen, std::move(registry), request_context,
                                             std::move(make_status)))
{
}

operations_worker::~operations_worker()
{
    this->stop();
}

http::endpoint operations_worker::local_endpoint() const
{
    return this->state->service.local_endpoint();
}

void operations_worker::start()
{
    this->state->thread =
        std::thread([implementation_state = this->state.get()] { implementation_state->context.run(); });
}

void operations_worker::stop()
{
    this->state->context.stop();
    if (this->state->thread.joinable()) {
        this->state->thread.join();
    }
}
} // namespace buckthornhill::operations
