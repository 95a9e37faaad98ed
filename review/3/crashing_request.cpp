//! A request crashes each backend that begins to run it, and its caller sends it again once a second. Counts
//! how often it still reaches backends after it has crashed three of them.

#include <iostream>
#include <set>
#include <thread>

#include "../support/load.h"

namespace {
using namespace buckthornhill;
using namespace buckthornhill::review;

constexpr std::size_t gateway_count = 3;
constexpr std::size_t backend_count = 12;
constexpr std::size_t first_backend_octet = 100;
constexpr std::size_t allowed_retries = 3; //!< after the third crash and `stable_window`
constexpr const char* crashing_path = "/inspect/4711";
constexpr milliseconds release_work{440};
constexpr milliseconds restart_time{3000};   //!< a backend is back after some seconds
constexpr milliseconds entry_lifetime{4500}; //!< three check-in intervals of silence
constexpr milliseconds repeat_pause{1000};
constexpr milliseconds trouble_time{25000};

time_point now()
{
    return std::chrono::steady_clock::now();
}

//! Backends of one service that start again some seconds after a crash, each time under a new id.
class backend_pool
{
public:
    backend_pool(store& platform, arrival_book& arrivals, record& log, bool is_request_harmful)
        : platform(platform)
        , book(arrivals)
        , log(log)
    {
        for (std::size_t i = 0; i < backend_count; ++i) {
            auto& added = this->places.emplace_back();
            added.settings.service = service_id("stockyard");
            added.settings.domain = gateway::domain_of(i);
            added.settings.ip = loopback_ip(first_backend_octet + i);
            added.settings.work = release_work;
            added.settings.crashing_path = is_request_harmful ? crashing_path : "";
            this->boot(added);
        }
        this->supervisor = std::thread([this] { this->supervise(); });
    }
    ~backend_pool()
    {
        this->is_stopped = true;
        this->supervisor.join();
    }
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;

    std::vector<time_point> crashes() const
    {
        const std::lock_guard lock(this->guard);
        return this->crash_times;
    }

private:
    struct place_of_backend
    {
        backend_options settings;
        std::unique_ptr<backend> current;
        std::atomic<bool> has_crashed = false;
        time_point down_since{};
        upstream_id listed; //!< entry in the store that nobody renews any more
    };

    void boot(place_of_backend& place)
    {
        place.settings.id = upstream_id("i-" + std::to_string(++this->boots));
        const auto port = place.current == nullptr ? 0 : place.current->local().port;
        place.current.reset();
        place.has_crashed = false;
        place.down_since = {};
        place.current = std::make_unique<backend>(place.settings, port, this->book);
        place.current->on_crash([this, &place] {
            const std::lock_guard lock(this->guard);
            this->crash_times.push_back(now());
            this->log.write("backend " + place.settings.id.str() + " crashed");
            place.has_crashed = true;
        });
        this->platform.put("servers", place.settings.id.str(), place.current->entry(false));
    }

    void supervise()
    {
        std::vector<std::pair<time_point, upstream_id>> expiring;
        while (!this->is_stopped) {
            std::this_thread::sleep_for(milliseconds(20));
            for (auto& place : this->places) {
                if (place.has_crashed && place.down_since == time_point{}) {
                    place.down_since = now();
                    expiring.emplace_back(now() + entry_lifetime, place.settings.id);
                }
                if (place.has_crashed && now() - place.down_since > restart_time) {
                    this->boot(place);
                }
            }
            std::erase_if(expiring, [this](const auto& item) {
                if (item.first > now()) {
                    return false;
                }
                this->platform.remove("servers", item.second.str());
                return true;
            });
        }
    }

    store& platform;
    arrival_book& book;
    record& log;
    std::list<place_of_backend> places;
    std::size_t boots = 0;
    mutable std::mutex guard;
    std::vector<time_point> crash_times;
    std::atomic<bool> is_stopped = false;
    std::thread supervisor;
};

void send_crashing_request(const std::vector<address>& gateways, std::size_t number, record& log)
{
    call sent;
    sent.host = host_name;
    sent.target = crashing_path;
    sent.id = "inspect-" + std::to_string(number);
    sent.object = "4711";
    sent.time_left = milliseconds(1200);
    log.write(sent.id + ": " + send_call(gateways[number % gateways.size()], sent).text());
}

//! Returns whether the rule was broken.
bool judge(const std::vector<time_point>& crashes, const arrival_book& book, record& log)
{
    std::size_t total = 0;
    std::size_t late = 0;
    std::size_t late_resends = 0; //!< by a gateway, within one request of the caller
    std::set<std::string> seen;
    const auto limit = crashes.size() < 3 ? time_point::max() : crashes[2] + bounds().stable_window;
    for (const auto& one : book.all()) {
        if (one.target != crashing_path) {
            continue;
        }
        ++total;
        const bool is_resend = !seen.insert(one.request_id).second;
        late += one.at > limit ? 1 : 0;
        late_resends += one.at > limit && is_resend ? 1 : 0;
        log.write("arrival of " + one.request_id + " at " + one.backend.str() + " at" +
                  log.time_text(one.at));
    }
    log.report("the request reached backends " + std::to_string(total) + " times and crashed " +
               std::to_string(crashes.size()) + " backends");
    log.report("arrivals later than stable_window after the third crash: " + std::to_string(late) +
               ", allowed are " + std::to_string(allowed_retries));
    log.report("of these, sent once more by a gateway: " + std::to_string(late_resends));
    return late_resends > allowed_retries;
}

bool run_case(const case_options& options)
{
    record log(options.record_path);
    store platform({loopback_ip(1)});
    platform.put("config", "main",
                 configuration(7, {{"/inspect/", service_id("stockyard"), true},
                                   {"/release/", service_id("stockyard"), false}}));
    arrival_book book;
    backend_pool pool(platform, book, log, options.has_trouble);
    std::list<gateway> gateways;
    std::vector<address> addresses;
    for (std::size_t i = 0; i < gateway_count; ++i) {
        addresses.push_back(gateways.emplace_back(options, i, platform.local()).callers());
        gateways.back().start();
    }
    wait_until_ready(gateways);
    release_load releases(addresses, log);
    releases.start(20, milliseconds(500));
    //! NOTE Longer than `stable_window`, so that all gateways are in touch.
    std::this_thread::sleep_for(milliseconds(5000));
    const auto end = now() + trouble_time;
    for (std::size_t number = 0; now() < end; ++number) {
        send_crashing_request(addresses, number, log);
        std::this_thread::sleep_for(repeat_pause);
    }
    releases.stop();
    releases.report();
    return judge(pool.crashes(), book, log);
}
} // namespace

int main(int argc, char** argv)
{
    constexpr int exit_not_run = 2;
    try {
        return run_case(read_options(argc, argv)) ? 1 : 0;
    } catch (const std::exception& failure) {
        std::cerr << "the case could not run: " << failure.what() << "\n";
        return exit_not_run;
    }
}
