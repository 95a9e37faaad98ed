#include "daemon/daemon_module.h"

#include <csignal>
#include <random>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <prometheus/registry.h>

#include "daemon/request_engine.h"
#include "daemon/request_metrics.h"
#include "global/bounded_ring.h"
#include "global/guarded_run.h"
#include "global/log.h"
#include "global/random_source.h"
#include "operations/operations_worker.h"
#include "store/document_watcher.h"

namespace buckthornhill::daemon {
namespace asio = boost::asio;

namespace {
constexpr std::size_t store_ring_capacity = 64;
constexpr int exit_interrupted = 130;
constexpr unsigned incarnation_random_bits = 12;

//! The start time in milliseconds, followed by random bits in the low digits, so that a later run of an
//! instance has a higher number.
incarnation_id make_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto timestamp_ms = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    const auto random_bits = std::random_device{}() & ((1U << incarnation_random_bits) - 1);
    return incarnation_id((static_cast<std::uint64_t>(timestamp_ms) << incarnation_random_bits) |
                          random_bits);
}

daemon_configuration with_incarnation(daemon_configuration configuration)
{
    configuration.self.incarnation = make_incarnation();
    return configuration;
}
} // namespace

struct daemon_module::implementation
{
    explicit implementation(const daemon_configuration& settings)
        : configuration(with_incarnation(settings))
        , registry(std::make_shared<prometheus::Registry>())
        , metrics(*this->registry, settings.self.region)
        , store_ring(store_ring_capacity,
                     [this] { asio::post(this->request_context, [this] { this->process_store_events(); }); })
        , engine(this->request_context, this->configuration, this->metrics, make_random(),
                 [this] { asio::post(this->main_context, [this] { this->main_context.stop(); }); })
        , watcher(
              this->store_context, this->configuration.store, this->configuration.watcher,
              [this](store::store_event event) { return this->store_ring.push(std::move(event)); },
              make_random())
        , operations_listener(this->configuration.operations_listen, this->registry, this->request_context,
                              [this] { return this->engine.status(); })
        , signals(this->main_context, SIGTERM, SIGINT)
    {
    }

    void process_store_events()
    {
        this->store_ring.drain(
            [this](const store::store_event& event) { this->engine.on_store_event(event); });
    }

    void wait_for_signal()
    {
        this->signals.async_wait([this](const boost::system::error_code& wait_error, int) {
            if (wait_error) {
                return;
            }
            if (this->is_leaving) {
                this->exit_code = exit_interrupted;
                this->main_context.stop();
                return;
            }
            this->is_leaving = true;
            asio::post(this->request_context, [this] { this->engine.begin_leave(); });
            this->wait_for_signal();
        });
    }

    daemon_configuration configuration;
    std::shared_ptr<prometheus::Registry> registry;
    request_metrics metrics;
    asio::io_context main_context;
    asio::io_context request_context;
    asio::io_context store_context;
    bounded_ring<store::store_event> store_ring;
    request_engine engine;
    store::document_watcher watcher;
    operations::operations_worker operations_listener;
    asio::signal_set signals;
    bool is_leaving = false;
    int exit_code = 0;
};

daemon_module::daemon_module(const daemon_configuration& configuration)
    : state(std::make_unique<implementation>(configuration))
{
}

daemon_module::~daemon_module() = default;

std::string daemon_module::ready_line() const
{
    const auto& self = this->state->engine.self();
    return boost::json::serialize(
        boost::json::value{{"id", self.id.str()},
                           {"region", self.region.str()},
                           {"domain", self.domain.str()},
                           {"peer_address", self.peer_address},
                           {"caller_address", self.caller_address},
                           {"operations_address", this->state->operations_listener.local_endpoint().str()}});
}

int daemon_module::run()
{
    auto& parts = *this->state;
    parts.wait_for_signal();
    parts.engine.start();
    parts.watcher.start();
    std::thread request_thread([&parts] { run_guarded(parts.request_context, "requests"); });
    std::thread store_thread([&parts] { run_guarded(parts.store_context, "platform"); });
    parts.operations_listener.start();
    run_guarded(parts.main_context, "daemon");
    parts.request_context.stop();
    parts.store_context.stop();
    request_thread.join();
    store_thread.join();
    parts.operations_listener.stop();
    log::info("daemon", "Stopped.");
    return parts.exit_code;
}
} // namespace buckthornhill::daemon
