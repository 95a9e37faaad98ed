#include "gateway_bench.h"

#include <cstdio>
#include <filesystem>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "child_process.h"
#include "gateway_process.h"
#include "global/periodic_timer.h"
#include "platform_messages.h"
#include "platform_store.h"
#include "process_usage.h"

namespace buckthornhill::bench {
namespace {
using namespace platform::standins;

constexpr int gateway_count = 8;
constexpr int upstream_count = 1080;
constexpr int registration_batch = 12;
constexpr std::chrono::milliseconds registration_pause{100};
constexpr std::chrono::seconds startup_time{15};
constexpr std::chrono::seconds idle_time{10};

void print_usage(const char* phase, const std::vector<std::unique_ptr<soak::gateway_process>>& processes,
                 std::vector<double>& previous_cpu)
{
    double total_cpu = 0;
    double max_cpu = 0;
    long max_memory_kib = 0;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const double cpu = cpu_seconds(processes[i]->pid());
        total_cpu += cpu - previous_cpu[i];
        max_cpu = std::max(max_cpu, cpu - previous_cpu[i]);
        max_memory_kib = std::max(max_memory_kib, resident_kib(processes[i]->pid()));
        previous_cpu[i] = cpu;
    }
    std::printf("%s: processor time %.3f s in total, at most %.3f s per gateway; memory at most %ld KiB per "
                "gateway\n",
                phase, total_cpu, max_cpu, max_memory_kib);
}
} // namespace

void run_gateway_bench()
{
    const std::string folder = std::filesystem::temp_directory_path() / "bth-gateway-bench";
    std::filesystem::create_directories(folder);
    boost::asio::io_context context;
    platform_store store(context);
    put_configuration(store, 1, {{"/steady/", "steady", true}});
    std::vector<std::unique_ptr<soak::gateway_process>> processes;
    const std::string settings = "region-of-domain = north-a=north\n"
                                 "seed = 127.77.0.10:" +
                                 std::to_string(soak::gateway_process::peers_port) + "\n";
    for (int i = 0; i < gateway_count; ++i) {
        const soak::gateway_identity identity{"g" + std::to_string(i), "north-a",
                                              "127.77.0." + std::to_string(10 + i)};
        processes.push_back(std::make_unique<soak::gateway_process>(
            BINARY_DIR "/buckthornhill-gateway", folder, identity, store.address(), settings));
        processes.back()->start();
    }
    int registered = 0;
    periodic_timer registrations(context, registration_pause, [&] {
        for (int i = 0; i < registration_batch && registered < upstream_count; ++i) {
            put_idle_upstream(store, "u" + std::to_string(++registered), "steady", "north-a");
        }
    });
    registrations.start();
    std::vector<double> previous_cpu(processes.size());
    context.run_for(startup_time);
    print_usage("start", processes, previous_cpu);
    const auto calls = store.call_count();
    context.run_for(idle_time);
    print_usage("idle", processes, previous_cpu);
    std::printf("calls to the store: %llu during the start, %llu while idle\n",
                static_cast<unsigned long long>(calls),
                static_cast<unsigned long long>(store.call_count() - calls));
}
} // namespace buckthornhill::bench
