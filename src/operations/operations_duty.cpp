#include "operations/operations_duty.h"

#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <prometheus/registry.h>

#include "global/bounded_ring.h"
#include "operations/operations_service.h"

namespace buckthornhill::operations {
namespace asio = boost::asio;

namespace {
constexpr std::size_t ring_capacity = 64; //!< as many as the listener lets wait
}

struct operations_duty::implementation
{
    implementation(const http::endpoint& listen, std::shared_ptr<prometheus::Registry> registry,
                   asio::io_context& request_context, std::function<std::string()> hook)
        : status(std::move(hook))
        , queries(
              ring_capacity,
              [this, &request_context] { asio::post(request_context, [this] { this->answer_queries(); }); })
        , answers(ring_capacity, [this] { asio::post(this->context, [this] { this->deliver_answers(); }); })
        , service(this->context, listen, std::move(registry),
                  [this](status_query query) { return this->queries.push(query); })
    {
    }

    void answer_queries()
    {
        this->queries.drain([this](const status_query& query) {
            this->answers.push(status_answer{query.number, this->status()});
        });
    }

    void deliver_answers()
    {
        this->answers.drain([this](const status_answer& answer) { this->service.on_answer(answer); });
    }

    asio::io_context context;
    std::function<std::string()> status;
    bounded_ring<status_query> queries;
    bounded_ring<status_answer> answers;
    operations_service service;
    std::thread thread;
};

operations_duty::operations_duty(const http::endpoint& listen, std::shared_ptr<prometheus::Registry> registry,
                                 asio::io_context& request_context, std::function<std::string()> status)
    : state(std::make_unique<implementation>(listen, std::move(registry), request_context, std::move(status)))
{
}

operations_duty::~operations_duty()
{
    this->stop();
}

http::endpoint operations_duty::local_endpoint() const
{
    return this->state->service.local_endpoint();
}

void operations_duty::start()
{
    this->state->thread = std::thread([parts = this->state.get()] { parts->context.run(); });
}

void operations_duty::stop()
{
    this->state->context.stop();
    if (this->state->thread.joinable()) {
        this->state->thread.join();
    }
}
} // namespace buckthornhill::operations
