#include "deployment.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <set>
#include <stdexcept>

#include <unistd.h>

namespace buckthornhill::review {
namespace json = boost::json;

namespace {
constexpr std::array<const char*, 3> domains{"lz-north", "vs-cebu", "mn-davao"};
constexpr std::array<const char*, 3> regions{"luzon", "visayas", "mindanao"};
constexpr std::size_t first_gateway_octet = 10;
constexpr unsigned short callers_port = 18381;
constexpr unsigned short control_port = 18382;
constexpr unsigned short directory_port = 18383;
constexpr unsigned short readiness_port = 18388;
constexpr unsigned short operations_port = 17200;
constexpr std::chrono::seconds startup_limit{10};
constexpr const char* bound_lines = "bound = seed_lag=3s\n"
                                    "bound = reuse_after=2s\n"
                                    "bound = stable_window=3000ms\n"
                                    "bound = ack=4000ms\n"
                                    "bound = catch_up=4s\n"
                                    "bound = drain=2000ms\n"
                                    "bound = grace=6s\n"
                                    "bound = loss_slack=200ms\n"
                                    "bound = config_apply=2000ms\n"
                                    "bound = rollback_slack=250ms\n"
                                    "bound = max_stretch=5000ms\n"
                                    "bound = retry_budget_ratio=0.2\n"
                                    "bound = budget_window=10s\n"
                                    "bound = retry_budget_burst=58\n"
                                    "bound = cold_load_factor=1.5\n"
                                    "bound = cold_slack=5\n"
                                    "bound = evacuation=5000ms\n"
                                    "bound = recovery=15s\n"
                                    "bound = ttl_max=5s\n"
                                    "bound = max_shift=0.15\n";

json::object rule_of(const route& one)
{
    return {{"name", "r" + one.path_prefix},
            {"type", one.is_safe ? "safe" : "unsafe"},
            {"target_latency", "600ms"},
            {"priority", 1},
            {"session_affinity", true},
            {"match", {{"path_prefix", one.path_prefix}}},
            {"action",
             {{"service_ref", one.service.str()},
              {"timeout", std::to_string(one.timeout.count()) + "ms"},
              {"max_attempts", 2},
              {"allowed_regions", json::array{}}}}};
}
} // namespace

case_options read_options(int argc, char** argv)
{
    constexpr int expected_arguments = 4;
    if (argc != expected_arguments) {
        throw std::runtime_error("usage: case GATEWAY_PROGRAM WORK_DIRECTORY RECORD");
    }
    const char* trouble = std::getenv("TROUBLE");
    case_options options;
    options.gateway_program = argv[1];
    options.work_directory = argv[2];
    options.record_path = argv[3];
    options.has_trouble = trouble == nullptr || std::string(trouble) != "0";
    return options;
}

json::value configuration(std::uint64_t version, const std::vector<route>& routes)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(version));
    json::array rules;
    json::array clusters;
    std::set<std::string> named;
    for (const auto& one : routes) {
        rules.push_back(rule_of(one));
        if (named.insert(one.service.str()).second) {
            clusters.push_back(json::object{{"name", one.service.str()},
                                            {"health_path", "/healthz"},
                                            {"max_conns", 330},
                                            {"protocol", "h1"},
                                            {"tls", false},
                                            {"cold_start", "3s"},
                                            {"cold_per_s", cold_rate}});
        }
    }
    return json::object{
        {"config_version", text.data()},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 67108864},
          {"header_timeout", "3000ms"},
          {"idle_timeout", "15000ms"}}},
        {"listeners", json::array{json::object{{"hostname", host_name}, {"rules", std::move(rules)}}}},
        {"clusters", std::move(clusters)}};
}

std::string loopback_ip(std::size_t last)
{
    constexpr std::uint64_t octet_values = 250;
    const auto process = static_cast<std::uint64_t>(getpid());
    return "127." + std::to_string(1 + process % octet_values) + "." +
           std::to_string(1 + process / octet_values % octet_values) + "." + std::to_string(last);
}

domain_id gateway::domain_of(std::size_t index)
{
    return domain_id(domains[index % domains.size()]);
}

gateway::gateway(const case_options& options, std::size_t index, const address& store_address)
    : program(options.gateway_program)
    , instance("front-" + domain_of(index).str() + "-1")
    , settings_path(options.work_directory + "/" + this->instance + ".conf")
    , log_path(options.work_directory + "/" + this->instance + ".log")
    , caller_address{loopback_ip(first_gateway_octet + index), callers_port}
    , readiness_address{loopback_ip(first_gateway_octet + index), readiness_port}
{
    const auto ip = this->caller_address.ip;
    std::ofstream file(this->settings_path);
    file << "instance = " << this->instance << "\ndomain = " << domain_of(index).str() << "\n";
    for (std::size_t i = 0; i < domains.size(); ++i) {
        file << "region-of-domain = " << domains[i] << "=" << regions[i] << "\n";
    }
    file << "callers = " << this->caller_address.str() << "\n"
         << "readiness = " << this->readiness_address.str() << "\n"
         << "lookups = " << address{ip, directory_port}.str() << "\n"
         << "peers = " << address{ip, control_port}.str() << "\n"
         << "operations = " << address{ip, operations_port}.str() << "\n"
         << "store = " << store_address.str() << "\n";
    for (std::size_t i = 0; i < domains.size(); ++i) {
        file << "seed = " << address{loopback_ip(first_gateway_octet + i), control_port}.str() << "\n";
    }
    file << "max-descriptors = 4100\n" << bound_lines;
}

void gateway::start()
{
    this->process = std::make_unique<testing::child_process>(
        std::vector<std::string>{this->program},
        std::map<std::string, std::string>{{"BUCKTHORNHILL_SETTINGS", this->settings_path}}, this->log_path,
        testing::child_output::log);
}

void gateway::kill()
{
    this->process.reset();
}

bool gateway::is_running()
{
    return this->process != nullptr && !this->process->poll();
}

bool gateway::is_ready() const
{
    call check;
    check.host = this->readiness_address.str();
    check.target = "/api/readyz";
    check.time_left = milliseconds(1000);
    return send_call(this->readiness_address, check).is_success();
}

std::size_t gateway::resident_bytes() const
{
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    std::ifstream("/proc/" + std::to_string(this->process->pid()) + "/statm") >> total_pages >>
        resident_pages;
    return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

void wait_until_ready(const std::list<gateway>& gateways)
{
    const auto limit = std::chrono::steady_clock::now() + startup_limit;
    while (!std::ranges::all_of(gateways, [](const gateway& one) { return one.is_ready(); })) {
        if (std::chrono::steady_clock::now() > limit) {
            throw std::runtime_error("the gateways are not ready in time");
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
}

paced_threads::paced_threads(std::size_t count, milliseconds pace,
                             const std::function<void(std::size_t)>& body)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->threads.emplace_back([this, pace, body, i, count] {
            //! NOTE The threads start evenly spread over one period.
            std::this_thread::sleep_for(pace * i / count);
            while (!this->is_stopped) {
                const auto next = std::chrono::steady_clock::now() + pace;
                body(this->calls++);
                std::this_thread::sleep_until(next);
            }
        });
    }
}

void paced_threads::stop()
{
    this->is_stopped = true;
    for (auto& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

void sleep_until(time_point when)
{
    std::this_thread::sleep_until(when);
}
} // namespace buckthornhill::review
