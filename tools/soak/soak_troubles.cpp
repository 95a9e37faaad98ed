#include <algorithm>
#include <array>
#include <csignal>

#include "soak_run.h"

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds restart_pause{400};  //!< between the end of a process and its next start
constexpr milliseconds watch_interval{50};  //!< between two looks at the processes
constexpr milliseconds drain_time{3500};    //!< that a leaving upstream goes on serving
constexpr milliseconds lapse_time{1500};    //!< until the registration of a crashed upstream is gone
constexpr milliseconds start_trouble{2000}; //!< a gateway that starts is not in touch yet
} // namespace

void soak_run::draw_trouble()
{
    if (this->is_over) {
        return;
    }
    switch (this->draw(5)) {
    case 0:
        this->trouble_process();
        break;
    case 1:
        this->trouble_store_path();
        break;
    case 2:
        this->trouble_store();
        break;
    default:
        this->trouble_upstream();
        break;
    }
    //! Now and then a pause long enough for the promises that hold in calm times only.
    const bool is_pause = this->draw(4) == 0;
    this->after(is_pause ? milliseconds(5500) : this->draw_time(150, 900), [this] { this->draw_trouble(); });
}

void soak_run::trouble_process()
{
    auto& gateway = *this->gateways[this->draw(this->gateways.size())];
    if (!gateway.is_running()) {
        return;
    }
    if (this->draw(2) == 0) {
        ++this->troubles_drawn["kill"];
        this->note_trouble(restart_pause + start_trouble);
        gateway.kill();
        this->after(restart_pause, [&gateway] { gateway.start(); });
        return;
    }
    ++this->troubles_drawn["pause"];
    const auto time = this->draw_time(200, 2500);
    this->note_trouble(time);
    gateway.signal(SIGSTOP);
    this->after(time, [&gateway] { gateway.signal(SIGCONT); });
}

void soak_run::trouble_store_path()
{
    ++this->troubles_drawn["store-path"];
    static constexpr std::array modes{proxy_mode::delay, proxy_mode::silent, proxy_mode::no_answers,
                                      proxy_mode::refuse};
    auto& path = *this->store_paths[this->draw(this->store_paths.size())];
    const auto time = this->draw_time(300, 3000);
    this->note_trouble(time);
    path.set_mode(modes[this->draw(modes.size())]);
    this->after(time, [&path] { path.set_mode(proxy_mode::pass); });
}

void soak_run::trouble_store()
{
    ++this->troubles_drawn["store"];
    const auto time = this->draw_time(300, 2500);
    store_faults faults;
    switch (this->draw(5)) {
    case 0:
        faults.is_unresponsive = true;
        break;
    case 1:
        faults.is_unavailable = true;
        break;
    case 2:
        faults.delay = milliseconds(200);
        break;
    case 3:
        faults.lost_per_ten_writes = 5;
        break;
    default:
        this->store.forget_history();
        break;
    }
    this->note_trouble(time);
    this->store.set_faults(faults);
    this->after(time, [this] { this->store.set_faults({}); });
}

soak_run::upstream_site* soak_run::find_upstream(const std::string& id)
{
    const auto found =
        std::ranges::find_if(this->upstreams, [&id](const auto& site) { return site.upstream->id() == id; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

void soak_run::trouble_upstream()
{
    auto chosen =
        std::next(this->upstreams.begin(), static_cast<std::ptrdiff_t>(this->draw(this->upstreams.size())));
    const auto id = chosen->upstream->id();
    const auto service = chosen->upstream->service();
    if (this->draw(3) == 0 && !chosen->is_leaving) {
        ++this->troubles_drawn["crash"];
        chosen->is_leaving = true;
        chosen->upstream->crash();
        this->after(lapse_time, [this, id, service] {
            this->remove_upstream(id);
            this->add_upstream(service);
        });
        return;
    }
    ++this->troubles_drawn["upstream-path"];
    static constexpr std::array modes{proxy_mode::delay, proxy_mode::silent, proxy_mode::no_answers,
                                      proxy_mode::refuse};
    const auto time = this->draw_time(200, 2000);
    this->note_trouble(time);
    chosen->proxy->set_mode(modes[this->draw(modes.size())]);
    this->after(time, [this, id] {
        if (auto* site = this->find_upstream(id)) {
            site->proxy->set_mode(proxy_mode::pass);
        }
    });
}

void soak_run::plan_work()
{
    if (this->is_ending) {
        return;
    }
    switch (this->draw(4)) {
    case 0:
        ++this->troubles_drawn["configuration"];
        this->change_configuration();
        break;
    case 1:
        ++this->troubles_drawn["drain"];
        this->drain_upstream();
        break;
    case 2:
        ++this->troubles_drawn["reload"];
        for (const auto& gateway : this->gateways) {
            gateway->touch_settings();
            gateway->signal(SIGHUP);
        }
        break;
    default:
        this->stop_in_turn();
        break;
    }
    this->after(this->draw_time(300, 2500), [this] { this->plan_work(); });
}

void soak_run::drain_upstream()
{
    auto& site =
        *std::next(this->upstreams.begin(), static_cast<std::ptrdiff_t>(this->draw(this->upstreams.size())));
    if (site.is_leaving) {
        return;
    }
    site.is_leaving = true;
    const auto id = site.upstream->id();
    this->add_upstream(site.upstream->service());
    put_upstream(this->store, *site.upstream, site.proxy->address(), true);
    this->book.on_leaving(std::chrono::steady_clock::now(), id);
    this->after(drain_time, [this, id] { this->remove_upstream(id); });
}

void soak_run::stop_in_turn()
{
    auto& gateway = *this->gateways[this->draw(this->gateways.size())];
    if (!gateway.is_running() || gateway.is_stopping()) {
        return;
    }
    ++this->troubles_drawn["stop"];
    this->book.on_planned_stop(std::chrono::steady_clock::now(), gateway.name());
    gateway.ask_to_stop();
}

void soak_run::watch_processes()
{
    for (const auto& gateway : this->gateways) {
        const bool was_running = gateway->is_running();
        const bool was_told = gateway->is_stopping();
        std::optional<int> exit_code;
        if (!was_running || !gateway->has_ended(exit_code)) {
            continue;
        }
        if (!was_told || exit_code.value_or(0) != 0) {
            this->book.on_fault(gateway->name() + " ended with " + std::to_string(exit_code.value_or(0)));
        }
        this->after(restart_pause, [raw = gateway.get()] { raw->start(); });
    }
    this->after(watch_interval, [this] { this->watch_processes(); });
}

void soak_run::end_trouble()
{
    this->is_over = true;
    this->store.set_faults({});
    for (const auto& path : this->store_paths) {
        path->set_mode(proxy_mode::pass);
    }
    for (const auto& site : this->upstreams) {
        site.proxy->set_mode(proxy_mode::pass);
    }
}
} // namespace buckthornhill::soak
