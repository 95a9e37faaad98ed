#include "load_generator.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace buckthornhill::load {
namespace {
constexpr std::size_t max_idle_connections = 512;
}

struct load_generator::stream_state
{
    stream_state(boost::asio::io_context& context, load_stream settings, caller_session caller)
        : load(std::move(settings))
        , session(std::move(caller))
        , timer(context)
    {
    }

    load_stream load;
    caller_session session;
    boost::asio::steady_timer timer;
    time_point next;
};

load_generator::load_generator(boost::asio::io_context& io, load_plan settings, result_hook results_hook)
    : context(io)
    , plan(std::move(settings))
    , hook(std::move(results_hook))
    , client(io, http::client_limits{.max_idle_per_endpoint = max_idle_connections,
                                     .max_body_bytes = 16U << 20,
                                     .idle_timeout = std::chrono::seconds(20)})
    , random(this->plan.seed)
{
}

load_generator::~load_generator() = default;

void load_generator::start(std::function<void()> finished)
{
    this->on_finished = std::move(finished);
    const auto begin = std::chrono::steady_clock::now();
    this->end = begin + this->plan.length;
    for (const auto& stream : this->plan.streams) {
        caller_configuration caller;
        caller.bootstrap = this->plan.bootstrap;
        std::shuffle(caller.bootstrap.begin(), caller.bootstrap.end(), this->random);
        caller.region = stream.region;
        caller.attempt_timeout = stream.deadline + std::chrono::milliseconds(500);
        auto state =
            std::make_shared<stream_state>(this->context, stream, caller_session(this->client, caller));
        state->next = begin;
        ++this->active_streams;
        this->schedule(state);
    }
}

void load_generator::schedule(const std::shared_ptr<stream_state>& stream)
{
    std::exponential_distribution<double> gap(stream->load.operations_per_second);
    stream->next += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(this->random)));
    if (stream->next >= this->end) {
        --this->active_streams;
        if (this->active_streams == 0 && this->in_flight == 0) {
            this->on_finished();
        }
        return;
    }
    stream->timer.expires_at(stream->next);
    stream->timer.async_wait([this, stream](const boost::system::error_code& failure) {
        if (!failure) {
            this->send(stream);
            this->schedule(stream);
        }
    });
}

void load_generator::send(const std::shared_ptr<stream_state>& stream)
{
    operation new_operation;
    new_operation.service = stream->load.service;
    new_operation.method = stream->load.method;
    new_operation.customer = stream->load.customer;
    new_operation.region = stream->load.region;
    new_operation.deadline = stream->load.deadline;
    new_operation.intended_at = stream->next;
    new_operation.order_id = this->plan.order_prefix + "-" + std::to_string(++this->sent);
    const auto distinct = static_cast<std::uint64_t>(stream->load.distinct_targets);
    new_operation.target =
        "/" + new_operation.service.str() + "/item/" + std::to_string(this->random() % distinct);
    ++this->in_flight;
    //! NOTE The callback keeps the stream alive until its last response.
    stream->session.run(new_operation,
                        [this, stream](const operation& completed, const operation_result& result) {
                            this->on_result(completed, result);
                        });
}

void load_generator::on_result(const operation& completed, const operation_result& result)
{
    --this->in_flight;
    this->results.add(completed, result);
    if (this->hook) {
        this->hook(completed, result);
    }
    if (this->active_streams == 0 && this->in_flight == 0) {
        this->on_finished();
    }
}
} // namespace buckthornhill::load
