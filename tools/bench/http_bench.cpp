#include "http_bench.h"

#include <functional>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "deployment.h"
#include "http/http_client.h"
#include "load_report.h"
#include "process_usage.h"

namespace buckthornhill::bench {
namespace {
using steady = std::chrono::steady_clock;

constexpr int warmup_requests = 2000;
constexpr int measured_requests = 60000;
constexpr int throughput_connections = 48;
constexpr int half_load_connections = 4;
constexpr int upstream_service_us = 300;
constexpr std::chrono::seconds call_timeout{5};

struct loop_result
{
    double per_second = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    std::size_t failures = 0;
};

//! Sends `requests` requests over `connections` connections. Each connection sends its next request as soon
//! as the previous one is answered.
loop_result run_closed_loop(const std::string& address, const std::string& target, int connections,
                            int requests)
{
    boost::asio::io_context context;
    http::http_client client(context, http::client_limits{});
    const auto server = http::parse_endpoint(address);
    std::vector<double> latencies;
    loop_result result;
    int sent = 0;
    int answered = 0;
    std::function<void()> send_next = [&] {
        if (sent >= requests) {
            return;
        }
        ++sent;
        const auto started = steady::now();
        client.send(server, {"GET", target + std::to_string(sent % 50), {}, ""}, started + call_timeout,
                    http::connection_choice::reuse, [&, started](const http::call_result& call) {
                        const std::chrono::duration<double, std::milli> took = steady::now() - started;
                        latencies.push_back(took.count());
                        const bool is_good =
                            call.status == http::call_status::complete && call.response.status == 200;
                        result.failures += is_good ? 0 : 1;
                        if (++answered == requests) {
                            context.stop();
                            return;
                        }
                        send_next();
                    });
    };
    const auto start = steady::now();
    for (int i = 0; i < connections; ++i) {
        send_next();
    }
    context.run();
    result.per_second = requests / std::chrono::duration<double>(steady::now() - start).count();
    result.p50_ms = load::percentile(latencies, 0.5);
    result.p99_ms = load::percentile(latencies, 0.99);
    return result;
}

void print(const std::string& label, const loop_result& result)
{
    std::cout << label << ": " << result.per_second << " per second, p50 " << result.p50_ms << " ms, p99 "
              << result.p99_ms << " ms, failures " << result.failures << "\n";
}

std::string first_upstream(testing::deployment& system)
{
    const auto list = boost::json::parse(system.call(system.store_address(), "GET", "/v1/instances").body);
    return std::string(list.at("upstreams").as_array().front().at("address").as_string());
}

void measure_throughput(testing::deployment& system, const std::string& label, const std::string& target)
{
    const auto& daemon = system.daemons().front();
    const auto before = cpu_seconds(daemon.process->pid());
    const auto result =
        run_closed_loop(daemon.caller_address, target, throughput_connections, measured_requests);
    const auto used = cpu_seconds(daemon.process->pid()) - before;
    print(label, result);
    std::cout << "  processor time of the daemon " << used / measured_requests * 1e6
              << " us per request: " << measured_requests / used << " per second on one core\n";
}
} // namespace

void run_http_bench()
{
    testing::deployment system(
        {std::string(BENCH_DIR) + "/deployment.json", {}, upstream_service_us, 0, false});
    system.register_instances();
    if (!system.wait_until_ready()) {
        std::cerr << "the daemon did not become ready\n";
        return;
    }
    const auto& daemon = system.daemons().front();
    std::cout << "idle daemon: " << resident_kib(daemon.process->pid()) << " KiB resident\n";
    run_closed_loop(daemon.caller_address, "/queuedesk/item/", half_load_connections, warmup_requests);
    const auto direct = run_closed_loop(first_upstream(system), "/queuedesk/item/", half_load_connections,
                                        warmup_requests * 5);
    const auto proxied = run_closed_loop(daemon.caller_address, "/queuedesk/item/", half_load_connections,
                                         warmup_requests * 5);
    print("directly to the upstream", direct);
    print("through the owner", proxied);
    std::cout << "added: p50 " << proxied.p50_ms - direct.p50_ms << " ms, p99 "
              << proxied.p99_ms - direct.p99_ms << " ms\n";
    measure_throughput(system, "small requests", "/queuedesk/item/");
    measure_throughput(system, "look-ups", "/.buckthornhill/lookup?service=queuedesk&n=");
    std::cout << "busy daemon: " << resident_kib(daemon.process->pid()) << " KiB resident\n";
}
} // namespace buckthornhill::bench
