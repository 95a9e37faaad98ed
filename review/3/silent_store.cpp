//! The store is silent for some seconds, right after a change of the backends. When it has been back and
//! stable for `stable_window`, a backend reports that it is leaving. Counts the requests that it still gets
//! later than the bound.

#include <iostream>
#include <thread>

#include "../support/drains.h"
#include "../support/load.h"

namespace {
using namespace buckthornhill;
using namespace buckthornhill::review;

constexpr std::size_t gateway_count = 3;
constexpr std::size_t backend_count = 9;
constexpr milliseconds settled_time{5000};
constexpr milliseconds silence_delay{100};       //!< from the first change to the silence
constexpr milliseconds silence{4500};            //!< the length that the site file gives
constexpr milliseconds calm_time{500};           //!< after `stable_window`
constexpr milliseconds extra_service_time{3000}; //!< of the leaving backends, after `drain`

departure report_leaving(store& platform, const backend& leaving, record& log)
{
    departure gone{leaving.id(), platform.put("servers", leaving.id().str(), leaving.entry(true))};
    log.write("the store acknowledges that " + leaving.id().str() + " is leaving");
    return gone;
}

void end_backend(store& platform, backend& leaving, record& log)
{
    log.write(leaving.id().str() + " ends");
    leaving.stop();
    platform.remove("servers", leaving.id().str());
}

bool run_case(const case_options& options)
{
    record log(options.record_path);
    store platform({loopback_ip(1)});
    platform.put("config", "main",
                 configuration(7, {{release_load::path_prefix, service_id("stockyard"), false}}));
    arrival_book book;
    auto backends = start_stockyard(platform, book, backend_count);
    std::list<gateway> gateways;
    std::vector<address> addresses;
    for (std::size_t i = 0; i < gateway_count; ++i) {
        addresses.push_back(gateways.emplace_back(options, i, platform.local()).callers());
        gateways.back().start();
    }
    wait_until_ready(gateways);
    release_load releases(addresses, log);
    releases.start(18, milliseconds(500));
    std::this_thread::sleep_for(settled_time);
    const auto first = report_leaving(platform, backends.back(), log);
    sleep_until(first.acknowledged_at + silence_delay);
    if (options.has_trouble) {
        log.write("the store is silent");
        platform.set_silent(true);
    }
    std::this_thread::sleep_for(silence);
    if (options.has_trouble) {
        log.write("the store is back");
        platform.set_silent(false);
    }
    end_backend(platform, backends.back(), log);
    std::this_thread::sleep_for(bounds().stable_window + calm_time);
    const auto second = report_leaving(platform, backends.front(), log);
    sleep_until(second.acknowledged_at + bounds().drain + extra_service_time);
    end_backend(platform, backends.front(), log);
    std::this_thread::sleep_for(milliseconds(3000));
    releases.stop();
    releases.report();
    return count_late_arrivals(book, second, {}, log) > 0;
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
