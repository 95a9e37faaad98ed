#include "soak_run.h"

#include <array>
#include <unistd.h>

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
//! Two, so that each has gateways enough for a relay.
constexpr std::array<const char*, 2> domains{"north-a", "south-a"};
constexpr std::array<const char*, 3> services{"steady", "left", "right"};
constexpr std::size_t upstreams_of_service = 3;
constexpr milliseconds work_time{40};        //!< of a request, so that a crash meets some in progress
constexpr milliseconds start_time{2500};     //!< until the gateways know everything
constexpr milliseconds recovery_time{6000};  //!< until everything has recovered; the users allow 15 s
constexpr milliseconds calm_work{1500};      //!< then a drain and a change come, which no trouble excuses
constexpr milliseconds recovered_time{6000}; //!< in which the recovery and those two are judged
constexpr milliseconds last_answers{4000};   //!< for what is in progress at the end
constexpr std::uint64_t address_space = 250;

time_point now()
{
    return std::chrono::steady_clock::now();
}

//! Loopback addresses of this process alone, so that runs side by side do not meet.
std::string address_of(std::size_t gateway)
{
    const auto process = static_cast<std::uint64_t>(getpid());
    return "127." + std::to_string(1 + process % address_space) + "." +
           std::to_string(1 + process / address_space % address_space) + "." + std::to_string(10 + gateway);
}
} // namespace

soak_run::soak_run(const soak_options& wanted)
    : options(wanted)
    , random(wanted.seed)
    , store(this->context)
{
    for (const auto* service : services) {
        for (std::size_t i = 0; i < upstreams_of_service; ++i) {
            this->add_upstream(service);
        }
    }
    this->change_configuration();
    std::string settings;
    for (const auto* domain : domains) {
        const std::string name(domain);
        settings += "region-of-domain = " + name + "=" + name.substr(0, name.find('-')) + "\n";
    }
    for (std::size_t i = 0; i < 2; ++i) {
        settings += "seed = " + address_of(i) + ":" + std::to_string(gateway_process::peers_port) + "\n";
    }
    this->start_gateways(settings);
    this->callers.resize(wanted.callers);
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
        this->callers[i].client = std::make_unique<http::http_client>(this->context, http::client_limits{});
    }
}

soak_run::~soak_run()
{
    //! NOTE What was in progress ends while everything that it refers to is still there.
    this->gateways.clear();
    this->callers.clear();
    this->store_paths.clear();
    this->context.restart();
    this->context.poll();
}

std::uint64_t soak_run::draw(std::uint64_t bound)
{
    return this->random() % bound;
}

milliseconds soak_run::draw_time(int least_ms, int most_ms)
{
    return milliseconds(least_ms +
                        static_cast<int>(this->draw(static_cast<std::uint64_t>(most_ms - least_ms))));
}

void soak_run::after(milliseconds time, action what)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, time);
    timer->async_wait([timer, what = std::move(what)](const boost::system::error_code& failure) {
        if (!failure) {
            what();
        }
    });
}

void soak_run::note_trouble(milliseconds time)
{
    this->book.on_trouble(now(), now() + time);
}

void soak_run::start_gateways(const std::string& settings)
{
    for (std::size_t i = 0; i < this->options.gateways; ++i) {
        this->store_paths.push_back(std::make_unique<loopback_proxy>(this->context, this->store.address()));
        const gateway_place place{"g" + std::to_string(i), domains[i % domains.size()], address_of(i)};
        this->gateways.push_back(
            std::make_unique<gateway_process>(this->options.gateway_program, this->options.directory, place,
                                              this->store_paths.back()->address(), settings));
        this->gateways.back()->start();
    }
}

void soak_run::add_upstream(const std::string& service)
{
    upstream_traits traits;
    traits.id = "u" + std::to_string(++this->last_upstream);
    traits.service = service;
    traits.processing_time = work_time;
    traits.lost_per_hundred = 1;
    traits.domain = domains[this->last_upstream % domains.size()];
    upstream_site site;
    site.upstream = std::make_unique<platform_upstream>(this->context, traits, this->runs);
    site.proxy = std::make_unique<loopback_proxy>(this->context, site.upstream->address());
    put_upstream(this->store, *site.upstream, site.proxy->address(), false);
    this->upstreams.push_back(std::move(site));
}

void soak_run::remove_upstream(const std::string& id)
{
    remove_upstream_entry(this->store, id);
    this->upstreams.remove_if([&id](const upstream_site& site) { return site.upstream->id() == id; });
}

void soak_run::change_configuration()
{
    const std::string moving = this->last_version % 2 == 0 ? services[1] : services[2];
    put_configuration(this->store, ++this->last_version,
                      {{"/steady/", services[0], true},
                       {"/once/", services[0], false},
                       {promise_book::moving_prefix, moving, false},
                       {"/other/", moving == services[1] ? services[2] : services[1], true}});
    this->book.on_configuration(now(), moving);
}

std::vector<std::string> soak_run::play()
{
    this->after(start_time, [this] {
        for (std::size_t i = 0; i < this->callers.size(); ++i) {
            this->call(i);
        }
        this->draw_trouble();
        this->plan_work();
    });
    this->after(start_time + this->options.length, [this] { this->end_trouble(); });
    const auto recovered = start_time + this->options.length + recovery_time;
    this->after(recovered, [this] { this->book.on_recovered(now()); });
    this->after(recovered + calm_work, [this] {
        this->drain_upstream();
        this->change_configuration();
    });
    this->after(recovered + recovered_time, [this] { this->is_ending = true; });
    this->after(recovered + recovered_time + last_answers, [this] { this->context.stop(); });
    this->watch_processes();
    this->context.run();
    for (const auto& run : this->runs) {
        this->book.on_run(run.started_at, run.request, run.upstream, run.service);
    }
    return this->book.violations();
}

std::string soak_run::summary() const
{
    std::string text = "seed " + std::to_string(this->options.seed) + ": " +
                       std::to_string(this->book.request_count()) + " requests";
    const auto add = [this, &text](const char* name, answer_kind kind) {
        text += std::string(", ") + name + " " + std::to_string(this->book.count(kind));
    };
    add("whole", answer_kind::whole);
    add("refused", answer_kind::refused);
    add("unknown", answer_kind::unknown);
    add("broken", answer_kind::broken);
    text += "; trouble:";
    for (const auto& [name, count] : this->troubles_drawn) {
        text += " " + name + " x" + std::to_string(count);
    }
    return text;
}
} // namespace buckthornhill::soak
