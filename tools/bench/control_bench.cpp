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
constexpr milliseconds change_limit{14000};

double metric_in(const std::string& text, const std::string& name)
{
    const auto at = text.find("\n" + name + "{");
    return at == std::string::npos ? 0 : std::stod(text.substr(text.find("} ", at) + 2));
}

struct usage
{
    double cpu = 0;
    double bytes = 0;
};

std::vector<usage> usages_of(testing::deployment& system)
{
    std::vector<usage> all;
    for (const auto& daemon : system.daemons()) {
        const auto metrics = system.call(daemon.operations_address, "GET", "/metrics").body;
        all.push_back(
            {cpu_seconds(daemon.process->pid()), metric_in(metrics, "buckthornhill_heartbeat_bytes_total")});
    }
    return all;
}

void measure_idle(testing::deployment& system)
{
    const auto before = usages_of(system);
    system.wait_until([] { return false; }, idle_time);
    const auto after = usages_of(system);
    const auto seconds = std::chrono::duration<double>(idle_time).count();
    double most_cpu = 0;
    double most_bytes = 0;
    long most_kib = 0;
    for (std::size_t i = 0; i < after.size(); ++i) {
        most_cpu = std::max(most_cpu, (after[i].cpu - before[i].cpu) / seconds * 100);
        most_bytes = std::max(most_bytes, (after[i].bytes - before[i].bytes) / seconds);
        most_kib = std::max(most_kib, resident_kib(system.daemons()[i].process->pid()));
    }
    std::cout << "idle, most of " << after.size() << " daemons: " << most_cpu << " % of a core, "
              << most_bytes << " bytes/s of heartbeats sent and received, " << most_kib << " KiB resident\n";
}

void measure_changes(testing::deployment& system, const std::string& what)
{
    std::vector<double> took_ms;
    for (int change = 0; change < change_count; ++change) {
        const auto body = R"({"plans":["plan-)" + std::to_string(change) + R"("],"customers":[],"calls":[]})";
        const auto start = steady::now();
        system.put_document("plans", body);
        const auto version = system.call(system.store_address(), "GET", "/v1/objects/plans");
        const auto wanted = "\"plans\":" + std::string(http::find_header(version.headers, "X-Version")) + ",";
        const bool is_in_force = system.wait_until(
            [&] {
                return std::all_of(system.daemons().begin(), system.daemons().end(), [&](const auto& daemon) {
                    return system.status_of(daemon).find(wanted) != std::string::npos;
                });
            },
            change_limit);
        const std::chrono::duration<double, std::milli> took = steady::now() - start;
        took_ms.push_back(is_in_force ? took.count() : 1e9);
    }
    std::cout << what << ": " << change_count << " changes in force everywhere, p50 "
              << load::percentile(took_ms, 0.5) << " ms, most " << load::percentile(took_ms, 1) << " ms\n";
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
