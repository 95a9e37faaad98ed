#include "gateway/gateway_module.h"

#include <csignal>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/value_from.hpp>
#include <prometheus/registry.h>

#include "gateway/gateway_engine.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_message_codec.h"
#include "global/bounded_ring.h"
#include "global/error.h"
#include "global/guarded_run.h"
#include "global/heap.h"
#include "global/log.h"
#include "global/periodic_timer.h"
#include "global/random_source.h"
#include "operations/operations_worker.h"

namespace buckthornhill::gateway {
namespace asio = boost::asio;

namespace {
constexpr std::size_t store_ring_capacity = 256;
constexpr std::chrono::seconds reload_interval{5}; //!< between two checks for changed settings

} // namespace

struct gateway_module::implementation
{
    implementation(const gateway_settings& initial_settings, gateway_dialect platform_dialect,
                   reload_hook settings_reload)
        : settings(initial_settings)
        , dialect(std::move(platform_dialect))
        , reload(std::move(settings_reload))
        , registry(std::make_shared<prometheus::Registry>())
        , metrics(*this->registry)
        , store_ring(store_ring_capacity,
                     [this] { asio::post(this->request_context, [this] { this->drain_store(); }); })
        , engine(this->request_context, this->settings, this->dialect, this->metrics, make_random(),
                 this->engine_hooks())
        , watcher(
              this->store_context, this->settings.store_endpoint, this->dialect.store, this->settings.watcher,
              [this](store::watcher_event event) { return this->store_ring.push(std::move(event)); },
              make_random())
        , operators(this->settings.operations_endpoint, this->registry, this->request_context,
                    [this] { return this->engine.status(); })
        , signals(this->main_context, SIGTERM, SIGINT, SIGHUP)
        , reload_timer(this->main_context, reload_interval, [this] { this->reload_settings(); })
    {
    }

    gateway_engine::hooks engine_hooks()
    {
        gateway_engine::hooks hooks;
        hooks.on_refresh_needed = [this](store::collection which) {
            asio::post(this->store_context, [this, which] { this->watcher.refresh(which); });
        };
        hooks.on_check_needed = [this](store::collection which) {
            asio::post(this->store_context, [this, which] { this->watcher.check(which); });
        };
        hooks.on_era = [this](store::store_era era) {
            asio::post(this->store_context, [this, era] { this->watcher.on_era(era); });
        };
        hooks.on_store_watch_changed =
            [this](const std::optional<std::map<store::collection, store::collection_version>>& known) {
                asio::post(this->store_context, [this, known] {
                    if (known) {
                        this->watcher.resume(*known);
                    } else {
                        this->watcher.suspend();
                    }
                });
            };
        hooks.on_followed_changed = [this](bool is_followed) {
            asio::post(this->store_context,
                       [this, is_followed] { this->watcher.set_has_dependent_instances(is_followed); });
        };
        hooks.on_stopped = [this] { this->main_context.stop(); };
        return hooks;
    }

    void drain_store()
    {
        this->store_ring.drain(
            [this](const store::watcher_event& event) { this->engine.on_store_event(event); });
    }

    //! Called on SIGHUP and at intervals, because the settings may also change without a signal.
    void reload_settings()
    {
        try {
            const auto new_settings = this->reload();
            if (new_settings) {
                asio::post(this->request_context, [this, new_settings = *new_settings] {
                    const auto changed = this->engine.apply(new_settings);
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
    bounded_ring<store::watcher_event> store_ring;
    gateway_engine engine;
    store::collection_watcher watcher;
    operations::operations_worker operators;
    asio::signal_set signals;
    periodic_timer reload_timer;
};

gateway_module::gateway_module(const gateway_settings& settings, gateway_dialect dialect, reload_hook reload)
    : state(std::make_unique<implementation>(settings, std::move(dialect), std::move(reload)))
{
}

gateway_module::~gateway_module() = default;

int gateway_module::run()
{
    auto& parts = *this->state;
    if (parts.settings.max_memory_bytes > 0) {
        return_large_blocks_at_once();
    }
    const auto& self = parts.engine.self();
    log::event("gateway", "started",
               {{"instance", self.id.str()},
                {"incarnation", self.incarnation.value()},
                {"region", self.region.str()},
                {"domain", self.domain.str()},
                {"callers", self.caller_address}});
    parts.await_signal();
    parts.reload_timer.start();
    parts.engine.start();
    parts.watcher.start();
    parts.watcher.publish_instance(
        self.id.str(), encode_registration(self), [&parts, own = self.incarnation](const auto& object) {
            return is_older_registration(parts.dialect.store.extract_body, object, own);
        });
    std::thread request_thread([&parts] { run_guarded(parts.request_context, "requests"); });
    std::thread store_thread([&parts] { run_guarded(parts.store_context, "store"); });
    parts.operators.start();
    run_guarded(parts.main_context, "gateway");
    parts.request_context.stop();
    parts.store_context.stop();
    request_thread.join();
    store_thread.join();
    parts.operators.stop();
    log::event("gateway", "stopped", {{"instance", self.id.str()}});
    log::flush();
    return 0;
}
} // namespace buckthornhill::gateway
