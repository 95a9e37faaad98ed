#include "account_deployment.h"

#include <filesystem>

#include <unistd.h>

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr const char* service = "stock";
constexpr const char* domain = "north-a";
constexpr milliseconds patience{4500};
constexpr milliseconds start_time{6000};
constexpr milliseconds response_time{300};
} // namespace

account_deployment::account_deployment(std::size_t count, std::size_t refused_count, std::size_t seed_count)
    : store(this->context)
    , refusing_store(this->context)
    , client(this->context, http::client_limits{})
    , upstream(this->context, [this](const http::http_request& request, const raw_connection&) {
        const auto id = std::string(http::find_header(request.headers, "Request-Id"));
        this->accounts[id] = account_of(request);
        this->has_seen_key = this->has_seen_key || !api_key_of(request).empty();
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s." + id +
               "\r\nContent-Length: 0\r\n\r\n";
    })
{
    put_registration(this->store, {"u1", service, domain, this->upstream.address(), 1});
    const auto directory =
        std::filesystem::temp_directory_path() / ("bth-accounts-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    this->refusing_store.set_faults({.is_unavailable = true});
    std::string settings = "region-of-domain = north-a=north\nregion-of-domain = north-b=north\n"
                           "bound = strict_revoke=true\nbound = config_apply=3000ms\n";
    settings += "bound = revoke=" + std::to_string(revoke_bound.count()) + "ms\n";
    settings += "bound = stable_window=" + std::to_string(recovery_bound.count()) + "ms\n";
    for (std::size_t i = 0; i < seed_count; ++i) {
        settings +=
            "seed = " + loopback_address_of(i) + ":" + std::to_string(gateway_process::peers_port) + "\n";
    }
    for (std::size_t i = 0; i < count + refused_count; ++i) {
        const bool is_refused = i >= count;
        this->gateways.push_back(std::make_unique<gateway_process>(
            BINARY_DIR "/buckthornhill-gateway", directory,
            gateway_identity{"g" + std::to_string(i), is_refused ? "north-b" : domain,
                             loopback_address_of(i)},
            (is_refused ? this->refusing_store : this->store).address(), settings));
    }
}

account_deployment::~account_deployment()
{
    this->gateways.clear();
    this->client.close();
    this->run_for(milliseconds(0));
}

void account_deployment::configure(const std::vector<account_description>& accounts_in_force)
{
    this->latest_accounts = accounts_in_force;
    ++this->version;
    this->configure_again();
}

void account_deployment::configure_again()
{
    put_configuration(this->store, this->version, {{"/any/", service, true}}, {}, this->latest_accounts);
}

void account_deployment::start()
{
    for (auto& gateway : this->gateways) {
        gateway->start();
    }
    this->run_for(start_time);
}

void account_deployment::restart(std::size_t gateway)
{
    this->gateways[gateway]->kill();
    this->gateways[gateway]->start();
}

void account_deployment::run_for(milliseconds time)
{
    this->context.restart();
    this->context.run_for(time);
}

std::vector<std::string> account_deployment::send_to_all(const std::string& key, milliseconds time)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        ids.push_back(this->send(i, key));
    }
    this->run_for(time);
    return ids;
}

std::string account_deployment::send(std::size_t gateway, const std::string& key)
{
    auto id = "request-" + std::to_string(++this->last_id);
    auto request = make_request("GET", "/any/" + id, id, patience);
    set_api_key(request, key);
    request.headers.emplace_back("Tenant-Id", "claimed");
    this->client.send(this->gateways[gateway]->caller_endpoint(), request,
                      std::chrono::steady_clock::now() + patience, http::connection_choice::fresh,
                      [this, id, request](const http::call_result& result) {
                          if (result.status == http::call_status::complete) {
                              this->responses[id] = read_caller_response(request, result.response);
                          }
                      });
    return id;
}

bool account_deployment::is_served(std::size_t gateway, const std::string& key)
{
    const auto id = this->send(gateway, key);
    this->run_for(response_time);
    return this->accounts.contains(id);
}
} // namespace buckthornhill::soak
