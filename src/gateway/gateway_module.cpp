#include "gateway/gateway_module.h"

#include <csignal>
#include <random>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value_from.hpp>
#include <prometheus/registry.h>

#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"
#include "gateway/news_codec.h"
#include "global/bounded_ring.h"
#include "global/error.h"
#include "global/log.h"
#include "operations/operations_service.h"

namespace buckthornhill::gateway {
namespace asio = boost::asio;

namespace {
constexpr std::size_t store_ring_capacity = 256;
constexpr std::size_t status_ring_capacity = 64;
constexpr std::chrono::seconds reload_interval{5}; //!< between two looks at the settings

random_hook make_random()
{
    auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine] { return (*engine)(); };
}
} // namespace

struct gateway_module::implementation
{
    implementation(const gateway_settings& wanted, gateway_dialect spelling, reload_hook hook)
        : settings(wanted)
        , dialect(std::move(spelling))
        , reload(std::move(hook))
        , registry(std::make_shared<prometheus::Registry>())
        , metrics(*this->registry)
        , store_ring(store_ring_capacity,
                     [this] { asio::post(this->request_context, [this] { this->drain_store(); }); })
        , query_ring(status_ring_capacity,
                     [this] { asio::post(this->request_context, [this] { this->drain_queries(); }); })
        , answer_ring(status_ring_capacity,
                      [this] { asio::post(this->operations_context, [this] { this->drain_answers(); }); })
        , engine(this->request_context, this->settings, this->dialect, this->metrics, make_random(),
                 this->engine_hooks())
        , watcher(
              this->store_context, this->settings.store, this->dialect.store, this->settings.watcher,
              [this](store::watcher_event event) { return this->store_ring.push(std::move(event)); },
              make_random())
        , operations_listener(this->operations_context, this->settings.operations, this->registry,
                              [this](operations::status_query query) { return this->query_ring.push(query); })
        , signals(this->main_context, SIGTERM, SIGINT, SIGHUP)
        , reload_timer(this->main_context)
    {
    }

    gateway_engine::hooks engine_hooks()
    {
        gateway_engine::hooks hooks;
        hooks.on_behind = [this](store::collection which) {
            asio::post(this->store_context, [this, which] { this->watcher.refresh(which); });
        };
        hooks.on_stopped = [this] { this->main_context.stop(); };
        return hooks;
    }

    void drain_store()
    {
        this->store_ring.drain(
            [this](const store::watcher_event& event) { this->engine.on_store_event(event); });
    }

    void drain_queries()
    {
        this->query_ring.drain([this](const operations::status_query& query) {
            this->answer_ring.push(operations::status_answer{query.number, this->engine.status()});
        });
    }

    void drain_answers()
    {
        this->answer_ring.drain(
            [this](const operations::status_answer& answer) { this->operations_listener.on_answer(answer); });
    }

    //! The settings may change with or without a signal.
    void schedule_reload()
    {
        this->reload_timer.expires_after(reload_interval);
        this->reload_timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                this->reload_settings();
                this->schedule_reload();
            }
        });
    }

    void reload_settings()
    {
        try {
            const auto fresh = this->reload();
            if (fresh) {
                asio::post(this->request_context, [this, fresh = *fresh] {
                    const auto changed = this->engine.apply(fresh);
                    log::event("gateway", "reload", {{"changed", boost::json::value_from(changed)}});
                });
            }
        } catch (const buckthornhill::error& failure) {
            log::event("gateway", "reload_refused", {{"reason", failure.what()}});
        }
    }

    void await_signal()
    {
        this->signals.async_wait([this](const boost::system::error_code& failure, int number) {
            if (failure) {
                return;
            }
            if (number == SIGHUP) {
                this->reload_settings();
            } else {
                asio::post(this->request_context, [this] { this->engine.begin_leave(); });
                asio::post(this->store_context,
                           [this] { this->watcher.withdraw_instance(this->settings.id.str()); });
            }
            this->await_signal();
        });
    }

    gateway_settings settings;
    gateway_dialect dialect;
    reload_hook reload;
    std::shared_ptr<prometheus::Registry> registry;
    gateway_metrics metrics;
    asio::io_context main_context;
    asio::io_context request_context;
    asio::io_context store_context;
    asio::io_context operations_context;
    bounded_ring<store::watcher_event> store_ring;
    bounded_ring<operations::status_query> query_ring;
    bounded_ring<operations::status_answer> answer_ring;
    gateway_engine engine;
    store::collection_watcher watcher;
    operations::operations_service operations_listener;
    asio::signal_set signals;
    asio::steady_timer reload_timer;
};

gateway_module::gateway_module(const gateway_settings& settings, gateway_dialect dialect, reload_hook reload)
    : state(std::make_unique<implementation>(settings, std::move(dialect), std::move(reload)))
{
}

gateway_module::~gateway_module() = default;

int gateway_module::run()
{
    auto& parts = *this->state;
    const auto& self = parts.engine.self();
    log::event("gateway", "started",
               {{"instance", self.id.str()},
                {"incarnation", self.incarnation.value()},
                {"region", self.region.str()},
                {"domain", self.domain.str()},
                {"callers", self.caller_address}});
    parts.await_signal();
    parts.schedule_reload();
    parts.engine.start();
    parts.watcher.start();
    parts.watcher.publish_instance(self.id.str(), encode_registration(self));
    std::thread request_thread([&parts] { parts.request_context.run(); });
    std::thread store_thread([&parts] { parts.store_context.run(); });
    std::thread operations_thread([&parts] { parts.operations_context.run(); });
    parts.main_context.run();
    parts.request_context.stop();
    parts.store_context.stop();
    parts.operations_context.stop();
    request_thread.join();
    store_thread.join();
    operations_thread.join();
    log::event("gateway", "stopped", {{"instance", self.id.str()}});
    log::flush();
    return 0;
}
} // namespace buckthornhill::gateway
