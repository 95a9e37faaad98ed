#include "region_bench.h"

#include <csignal>
#include <iostream>
#include <map>
#include <vector>

#include "deployment.h"

namespace buckthornhill::bench {
namespace {
using std::chrono::milliseconds;

constexpr double rate_per_stream = 40;
constexpr int service_us = 20000;
constexpr milliseconds load_duration{16000};
constexpr milliseconds loss_offset{6000};
constexpr milliseconds detection_time{4000}; //!< the default membership timeout plus 1 s

struct phase_counts
{
    std::vector<double> latencies_ms;
    std::size_t refused = 0;
    std::size_t unknown = 0;
};

void print(const std::string& name, const phase_counts& phase)
{
    std::cout << name << ": done " << phase.latencies_ms.size() << ", not executed " << phase.refused
              << ", unknown " << phase.unknown << ", p50 " << load::percentile(phase.latencies_ms, 0.5)
              << " ms, p99 " << load::percentile(phase.latencies_ms, 0.99) << " ms\n";
}
} // namespace

void run_region_bench()
{
    testing::deployment_options options;
    options.file = std::string(BUREAU_DIR) + "/deployment.json";
    options.service_us = service_us;
    testing::deployment system(options);
    system.register_instances();
    if (!system.wait_until_ready()) {
        std::cerr << "the daemons did not become ready\n";
        return;
    }
    std::map<int, phase_counts> phases;
    const auto start = std::chrono::steady_clock::now();
    const auto lose_region = [&system] {
        for (auto& daemon : system.daemons()) {
            if (daemon.region == "luzon") {
                daemon.process->signal(SIGKILL);
            }
        }
    };
    system.run_load(
        system.make_plan(rate_per_stream, load_duration), {{loss_offset, lose_region}},
        [&](const load::operation& operation, const load::operation_result& result) {
            if (operation.method != "GET") {
                return;
            }
            const auto at = operation.intended_at - start;
            auto& phase = phases[at < loss_offset ? 0 : at < loss_offset + detection_time ? 1 : 2];
            if (result.result == requests::outcome::done) {
                phase.latencies_ms.push_back(
                    std::chrono::duration<double, std::milli>(result.latency).count());
            }
            phase.refused += result.result == requests::outcome::not_executed ? 1 : 0;
            phase.unknown += result.result == requests::outcome::unknown ? 1 : 0;
        });
    print("look-ups before the loss of a region", phases[0]);
    print("in the first 4 s after the loss", phases[1]);
    print("later than 4 s after the loss", phases[2]);
}
} // namespace buckthornhill::bench
