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

constexpr int gateways = 8;
constexpr int upstreams = 1080;
constexpr int registered_at_a_time = 12;
constexpr std::chrono::milliseconds registration_pause{100};
constexpr std::chrono::seconds start_time{15};
constexpr std::chrono::seconds idle_time{10};

void print(const char* when, const std::vector<std::unique_ptr<soak::gateway_process>>& running,
           std::vector<double>& before)
{
    double total = 0;
    double most = 0;
    long memory = 0;
    for (std::size_t i = 0; i < running.size(); ++i) {
        const double used = cpu_seconds(running[i]->pid());
        total += used - before[i];
        most = std::max(most, used - before[i]);
        memory = std::max(memory, resident_kib(running[i]->pid()));
        before[i] = used;
    }
    std::printf("%s: processor time %.3f s in all, %.3f s at most; memory %ld KiB at most\n", when, total,
                most, memory);
}
} // namespace

void run_gateway_bench()
{
    const std::string folder = std::filesystem::temp_directory_path() / "bth-gateway-bench";
    std::filesystem::create_directories(folder);
    boost::asio::io_context context;
    platform_store store(context);
    put_configuration(store, 1, {{"/steady/", "steady", true}});
    std::vector<std::unique_ptr<soak::gateway_process>> running;
    const std::string settings = "region-of-domain = north-a=north\n"
                                 "seed = 127.77.0.10:" +
                                 std::to_string(soak::gateway_process::peers_port) + "\n";
    for (int i = 0; i < gateways; ++i) {
        const soak::gateway_place place{"g" + std::to_string(i), "north-a",
                                        "127.77.0." + std::to_string(10 + i)};
        running.push_back(std::make_unique<soak::gateway_process>(BINARY_DIR "/buckthornhill-gateway", folder,
                                                                  place, store.address(), settings));
        running.back()->start();
    }
    int registered = 0;
    periodic_timer registrations(context, registration_pause, [&] {
        for (int i = 0; i < registered_at_a_time && registered < upstreams; ++i) {
            put_idle_upstream(store, "u" + std::to_string(++registered), "steady", "north-a");
        }
    });
    registrations.start();
    std::vector<double> before(running.size());
    context.run_for(start_time);
    print("start", running, before);
    const auto calls = store.call_count();
    context.run_for(idle_time);
    print("idle", running, before);
    std::printf("calls to the store: %llu at the start, %llu while idle\n",
                static_cast<unsigned long long>(calls),
                static_cast<unsigned long long>(store.call_count() - calls));
}
} // namespace buckthornhill::bench
