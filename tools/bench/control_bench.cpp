#include "control_bench.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include "deployment.h"
#include "process_usage.h"

namespace buckthornhill::bench {
namespace {
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds idle_time{10000};
constexpr int change_count = 20;
constexpr milliseconds change_timeout{14000};

double find_metric(const std::string& text, const std::string& name)
{
    const auto at = text.find("\n" + name + "{");
    return at == std::string::npos ? 0 : std::stod(text.substr(text.find("} ", at) + 2));
}

struct usage
{
    double cpu = 0;
    double bytes = 0;
};

std::vector<usage> read_usages(testing::deployment& system)
{
    std::vector<usage> usages;
    for (const auto& daemon : system.daemons()) {
        const auto metrics = system.call(daemon.operations_address, "GET", "/metrics").body;
        usages.push_back({cpu_seconds(daemon.process->pid()),
                          find_metric(metrics, "buckthornhill_heartbeat_bytes_total")});
    }
    return usages;
}

void measure_idle(testing::deployment& system)
{
    const auto before = read_usages(system);
    system.wait_until([] { return false; }, idle_time);
    const auto after = read_usages(system);
    const auto seconds = std::chrono::duration<double>(idle_time).count();
    double max_cpu = 0;
    double max_bytes = 0;
    long max_kib = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
        max_cpu = std::max(max_cpu, (after[i].cpu - before[i].cpu) / seconds * 100);
        max_bytes = std::max(max_bytes, (after[i].bytes - before[i].bytes) / seconds);
        max_kib = std::max(max_kib, resident_kib(system.daemons()[i].process->pid()));
    }
    std::cout << "idle, maximum of " << after.size() << " daemons: " << max_cpu << " % of a core, "
              << max_bytes << " bytes/s of heartbeats sent and received, " << max_kib << " KiB resident\n";
}

void measure_changes(testing::deployment& system, const std::string& label)
{
    std::vector<double> durations_ms;
    for (int change = 0; change < change_count; ++change) {
        const auto body = R"({"plans":["plan-)" + std::to_string(change) + R"("],"customers":[],"calls":[]})";
        const auto start = steady::now();
        system.put_document("plans", body);
        const auto version = system.call(system.store_address(), "GET", "/v1/objects/plans");
        const auto expected_version =
            "\"plans\":" + std::string(http::find_header(version.headers, "X-Version")) + ",";
        const bool is_in_force = system.wait_until(
            [&] {
                return std::all_of(system.daemons().begin(), system.daemons().end(), [&](const auto& daemon) {
                    return system.status_of(daemon).find(expected_version) != std::string::npos;
                });
            },
            change_timeout);
        const std::chrono::duration<double, std::milli> duration = steady::now() - start;
        durations_ms.push_back(is_in_force ? duration.count() : 1e9);
    }
    std::cout << label << ": " << change_count << " changes in force everywhere, p50 "
              << load::percentile(durations_ms, 0.5) << " ms, max " << load::percentile(durations_ms, 1)
              << " ms\n";
}
} // namespace

void run_control_bench()
{
    testing::deployment_options options;
    options.file = std::string(BUREAU_DIR) + "/deployment.json";
    testing::deployment system(options);
    system.register_instances();
    if (!system.wait_until_ready()) {
        std::cerr << "the daemons did not become ready\n";
        return;
    }
    measure_idle(system);
    measure_changes(system, "store up");
}
} // namespace buckthornhill::bench
