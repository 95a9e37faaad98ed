#include "small_deployment.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include <arpa/inet.h>
#include <boost/asio/steady_timer.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthornhill::review {
using std::chrono::milliseconds;

namespace {
constexpr const char* program = "target/bin/buckthornhill-gateway";
constexpr milliseconds renewal_interval{1500};
constexpr milliseconds start_timeout{10000};
constexpr milliseconds readiness_interval{100};
constexpr unsigned upstream_slots = 50;

//! One of the loopback addresses that this process uses; concurrent cases do not share them.
std::string loopback_address(std::size_t host)
{
    constexpr int octet_values = 250;
    constexpr std::size_t first_host = 10;
    const auto process = getpid();
    return "127." + std::to_string(1 + process % octet_values) + "." +
           std::to_string(1 + process / octet_values % octet_values) + "." +
           std::to_string(first_host + host);
}

bool is_free(const std::string& address, unsigned short port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &local.sin_addr);
    const bool is_bound = bind(descriptor, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0;
    close(descriptor);
    return is_bound;
}

//! Below the range from which the system takes ports of outgoing connections.
unsigned short free_port(const std::string& address)
{
    constexpr unsigned short end_of_range = 32000;
    static unsigned short next = 20000;
    while (next < end_of_range) {
        const auto port = next++;
        if (is_free(address, port)) {
            return port;
        }
    }
    throw std::runtime_error("no free port on " + address);
}

http::endpoint free_endpoint(const std::string& address)
{
    return {address, free_port(address)};
}

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

case_record::case_record(const std::string& path)
    : file(path)
    , started_at(clock_now())
{
}

void case_record::add(const std::string& line)
{
    this->file << this->now().count() << " ms  " << line << std::endl;
}

milliseconds case_record::now() const
{
    return std::chrono::duration_cast<milliseconds>(clock_now() - this->started_at);
}

small_deployment::small_deployment(const deployment_options& how, case_record& case_log)
    : store(this->context)
    , record(case_log)
    , checker(std::make_unique<http::http_client>(this->context, http::client_limits{}))
{
    this->write_settings(how);
    for (const auto& zone : how.zones) {
        for (std::size_t i = 0; i < how.upstreams_per_zone; ++i) {
            this->add_upstream(zone, i, how.processing_time);
        }
    }
    this->renew_registrations();
}

small_deployment::~small_deployment()
{
    this->renewal_timer.cancel();
    this->gateways.clear();
    this->checker->close();
    this->context.restart();
    this->context.poll();
}

http::endpoint small_deployment::free_proxy_endpoint()
{
    constexpr std::size_t proxy_host = 100;
    return free_endpoint(loopback_address(proxy_host));
}

void small_deployment::write_settings(const deployment_options& how)
{
    std::string shared;
    for (const auto& zone : how.zones) {
        shared += "region-of-domain = " + zone.name + "=" + zone.region + "\n";
    }
    std::vector<http::endpoint> peers;
    for (std::size_t i = 0; i < how.zones.size(); ++i) {
        peers.push_back(free_endpoint(loopback_address(i)));
    }
    for (const auto seed : how.seed_gateways) {
        shared += "seed = " + peers[seed].str() + "\n";
    }
    for (std::size_t i = 0; i < how.stale_seeds; ++i) {
        shared += "seed = " + free_endpoint(loopback_address(how.zones.size() + i)).str() + "\n";
    }
    shared += "max-descriptors = 4100\nmax-memory-mb = 260\nobject-plan = on\nheartbeat = 1500ms\n";
    for (const auto& bound : how.bounds) {
        shared += "bound = " + bound + "\n";
    }
    for (std::size_t i = 0; i < how.zones.size(); ++i) {
        const auto address = loopback_address(i);
        gateway_instance gateway;
        gateway.name = "front-" + how.zones[i].name + "-1";
        gateway.settings_path = how.directory + "/" + gateway.name + ".conf";
        gateway.log_path = how.directory + "/" + gateway.name + ".log";
        gateway.callers = free_endpoint(address);
        gateway.readiness = free_endpoint(address);
        std::ofstream(gateway.settings_path)
            << "instance = " << gateway.name << "\ndomain = " << how.zones[i].name
            << "\ncallers = " << gateway.callers.str() << "\nreadiness = " << gateway.readiness.str()
            << "\nlookups = " << free_endpoint(address).str() << "\npeers = " << peers[i].str()
            << "\noperations = " << free_endpoint(address).str() << "\nstore = "
            << (i == 0 && how.first_gateway_store
                    ? how.first_gateway_store(this->context, this->store.address())
                    : this->store.address())
                   .str()
            << "\n"
            << shared;
        this->gateways.push_back(std::move(gateway));
    }
}

void small_deployment::add_upstream(const zone_description& zone, std::size_t number,
                                    milliseconds processing_time)
{
    platform::standins::upstream_traits traits;
    traits.id = "i-" + zone.name + (number == 0 ? "" : "-" + std::to_string(number));
    traits.service = service;
    traits.domain = zone.name;
    traits.slots = upstream_slots;
    traits.processing_time = processing_time;
    this->upstreams.push_back(
        std::make_unique<platform::standins::platform_upstream>(this->context, traits, this->runs));
}

void small_deployment::renew_registrations()
{
    ++this->renewals;
    for (const auto& upstream : this->upstreams) {
        if (!this->is_store_away && !this->left_upstreams.contains(upstream->id())) {
            auto entry = upstream->entry(upstream->address(), false);
            entry["status"].as_object()["sequence"] = this->renewals;
            this->store.put("servers", upstream->id(), std::move(entry));
        }
    }
    this->renewal_timer.expires_after(renewal_interval);
    this->renewal_timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            this->renew_registrations();
        }
    });
}

void small_deployment::leave(std::size_t upstream)
{
    const auto& id = this->upstreams[upstream]->id();
    this->left_upstreams.insert(id);
    this->store.remove("servers", id);
    this->record.add("the removal of " + id + " is acknowledged");
}

void small_deployment::end(std::size_t upstream)
{
    this->upstreams[upstream]->crash();
    this->record.add(this->upstreams[upstream]->id() + " has ended");
}

void small_deployment::start(std::size_t gateway)
{
    auto& started = this->gateways[gateway];
    started.process = std::make_unique<testing::child_process>(
        std::vector<std::string>{program},
        std::map<std::string, std::string>{{"BUCKTHORNHILL_SETTINGS", started.settings_path}},
        started.log_path, testing::child_output::log);
    this->record.add(started.name + " is started");
}

void small_deployment::kill(std::size_t gateway)
{
    this->gateways[gateway].process.reset();
    this->record.add(this->gateways[gateway].name + " is killed");
}

void small_deployment::start_all()
{
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        this->start(i);
    }
    const auto latest = clock_now() + start_timeout;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        while (!this->is_ready(i)) {
            if (clock_now() > latest) {
                throw std::runtime_error(this->gateways[i].name + " is not ready");
            }
            this->run_for(readiness_interval);
        }
        this->record.add(this->gateways[i].name + " is ready");
    }
}

bool small_deployment::is_ready(std::size_t gateway)
{
    bool is_ok = false;
    this->checker->send(this->gateways[gateway].readiness, platform::standins::make_readiness_check(),
                        clock_now() + readiness_interval, http::connection_choice::fresh,
                        [&is_ok](const http::call_result& result) {
                            is_ok =
                                result.status == http::call_status::complete && result.response.status == 200;
                        });
    this->run_for(2 * readiness_interval);
    return is_ok;
}

void small_deployment::run_for(milliseconds time)
{
    this->context.restart();
    this->context.run_for(time);
}

http::endpoint small_deployment::caller_endpoint(std::size_t gateway) const
{
    return this->gateways[gateway].callers;
}

int run_case(int argc, char** argv, const std::function<bool(const std::string&, case_record&)>& play)
{
    constexpr int exit_broken = 1;
    constexpr int exit_not_run = 2;
    if (argc != 2 || !std::filesystem::exists(program)) {
        std::cerr << "usage, in the repository with " << program << ": " << argv[0] << " RECORD\n";
        return exit_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory =
        std::filesystem::temp_directory_path() / ("bth-review-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    int exit_code = exit_not_run;
    try {
        case_record record(argv[1]);
        record.add(has_trouble() ? "with the disruption" : "without the disruption");
        const bool has_held = play(directory, record);
        record.add(has_held ? "the rule held" : "the rule was broken");
        std::cout << (has_held ? "The rule held.\n" : "The rule was broken.\n");
        exit_code = has_held ? 0 : exit_broken;
    } catch (const std::exception& failure) {
        std::cerr << "The case could not run: " << failure.what() << "\n";
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(directory);
    } else {
        std::cout << "Logs are in " << directory << "\n";
    }
    return exit_code;
}
} // namespace buckthornhill::review
