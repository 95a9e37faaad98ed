//! Case: backends of a service that must stay in one region end, and their addresses go to backends of
//! another service in another region.
#include <algorithm>
#include <map>

#include <boost/asio/steady_timer.hpp>

#include "../../src/http/http_server.h"
#include "small_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::review;
using std::chrono::milliseconds;

namespace {
constexpr const char* home_region = "fes";
constexpr const char* home_zone = "fes-medina";
constexpr const char* other_zone = "tng-port";
constexpr const char* other_service = "press";
//! The site file's largest share of `replace_with_reuse` is 0.35.
constexpr std::size_t backend_count = 12;
constexpr std::size_t ended_count = 4;
constexpr milliseconds reuse_after{2000};
constexpr milliseconds check_in_interval{1500};
constexpr milliseconds lease{3 * check_in_interval};
constexpr milliseconds time_limit{1000};
constexpr milliseconds request_interval{10};
constexpr std::size_t upload_bytes = 500;

//! A backend at a given address that registers itself and renews its registration.
class fixed_upstream
{
public:
    struct description
    {
        std::string id;
        std::string service;
        std::string zone;
        http::endpoint address;
    };
    using arrival_hook =
        std::function<void(const description&, const http::http_request&, bool is_meant_for)>;

    fixed_upstream(small_deployment& played, description what, arrival_hook hook)
        : deployment(played)
        , traits(std::move(what))
        , on_arrival(std::move(hook))
        , timer(played.context)
        , started_at_ms(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count()))
        , server(std::make_unique<http::http_server>(
              played.context, this->traits.address, http::server_limits{},
              [this](const http::exchange_ptr& exchange) { this->on_request(exchange); }))
    {
        this->register_self();
    }
    ~fixed_upstream() { this->timer.cancel(); }
    fixed_upstream(const fixed_upstream&) = delete;
    fixed_upstream& operator=(const fixed_upstream&) = delete;

    const description& what() const { return this->traits; }

private:
    void register_self()
    {
        boost::json::object entry{
            {"address", this->traits.address.str()},
            {"born", this->started_at_ms},
            {"info",
             {{"service_ref", this->traits.service},
              {"config_version", "v1"},
              {"zone", this->traits.zone},
              {"capacity", 4}}},
            {"status", {{"phase", "ready"}, {"sequence", ++this->sequence}, {"cold_left", "0ms"}}}};
        this->deployment.store.put("servers", this->traits.id, std::move(entry));
        this->timer.expires_after(check_in_interval);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                this->register_self();
            }
        });
    }

    void on_request(const http::exchange_ptr& exchange)
    {
        const auto& request = exchange->request();
        const auto expected = http::find_header(request.headers, "Expected-Instance");
        const bool is_meant_for = expected.empty() || expected == this->traits.id;
        this->on_arrival(this->traits, request, is_meant_for);
        http::http_response response;
        response.status = is_meant_for ? 200 : 421;
        const auto id = std::string(http::find_header(request.headers, "Request-Id"));
        response.headers.emplace_back("Request-Id", id);
        if (is_meant_for) {
            response.headers.emplace_back("Response-Signature", "s." + id);
        } else {
            response.headers.emplace_back("Not-Executed", "1");
        }
        response.body = "x";
        exchange->respond(std::move(response));
    }

    small_deployment& deployment;
    description traits;
    arrival_hook on_arrival;
    boost::asio::steady_timer timer;
    std::uint64_t started_at_ms;
    std::uint64_t sequence = 0;
    std::unique_ptr<http::http_server> server;
};

//! The backends of both services, and what reached them.
class backend_fleet
{
public:
    backend_fleet(small_deployment& played, case_record& log)
        : deployment(played)
        , record(log)
    {
        for (std::size_t i = 0; i < backend_count; ++i) {
            this->start({"i-desk-" + std::to_string(i), small_deployment::service, home_zone,
                         small_deployment::free_backend_endpoint()});
        }
    }

    //! The first ones end without a word; others get their addresses, and their entries expire.
    void replace_with_reuse()
    {
        std::vector<fixed_upstream::description> ended;
        for (std::size_t i = 0; i < ended_count; ++i) {
            ended.push_back(this->backends.front()->what());
            this->backends.erase(this->backends.begin());
            this->record.add(ended.back().id + " at " + ended.back().address.str() + " has ended");
        }
        this->deployment.run_for(reuse_after);
        for (std::size_t i = 0; i < ended_count; ++i) {
            this->start({"i-press-" + std::to_string(i), other_service, other_zone, ended[i].address});
        }
        //! NOTE They checked in up to an interval before they ended.
        this->deployment.run_for(lease - reuse_after);
        for (const auto& one : ended) {
            this->deployment.store.remove("servers", one.id);
            this->record.add("the entry of " + one.id + " is removed");
        }
    }

    std::size_t arrivals_elsewhere() const { return this->elsewhere; }
    std::size_t arrivals_at_home() const { return this->at_home; }

private:
    void start(const fixed_upstream::description& what)
    {
        this->backends.push_back(std::make_unique<fixed_upstream>(
            this->deployment, what,
            [this](const fixed_upstream::description& reached, const http::http_request& request,
                   bool is_meant_for) { this->on_arrival(reached, request, is_meant_for); }));
        this->record.add(what.id + " in " + what.zone + " starts at " + what.address.str());
    }

    void on_arrival(const fixed_upstream::description& reached, const http::http_request& request,
                    bool is_meant_for)
    {
        const bool is_home = reached.zone == home_zone;
        ++(is_home ? this->at_home : this->elsewhere);
        if (!is_home) {
            this->record.add(std::string(http::find_header(request.headers, "Request-Id")) + " with " +
                             std::to_string(request.body.size()) + " bytes reaches " + reached.id + " in " +
                             reached.zone + (is_meant_for ? "" : ", meant for another one"));
        }
    }

    small_deployment& deployment;
    case_record& record;
    std::vector<std::unique_ptr<fixed_upstream>> backends;
    std::size_t at_home = 0;
    std::size_t elsewhere = 0;
};

class upload_traffic
{
public:
    upload_traffic(small_deployment& played, case_record& log)
        : deployment(played)
        , record(log)
        , client(std::make_unique<http::http_client>(played.context, http::client_limits{}))
        , timer(played.context)
    {
    }
    ~upload_traffic()
    {
        this->timer.cancel();
        this->client->close();
    }
    upload_traffic(const upload_traffic&) = delete;
    upload_traffic& operator=(const upload_traffic&) = delete;

    void send_always()
    {
        const auto id = "r" + std::to_string(++this->count);
        auto request = platform::standins::make_request("POST", "/desk/" + id, id, time_limit);
        request.body = std::string(upload_bytes, 'x');
        this->client->send(this->deployment.caller_endpoint(this->count % this->deployment.size()), request,
                           std::chrono::steady_clock::now() + time_limit, http::connection_choice::reuse,
                           [this](const http::call_result& result) {
                               const auto status =
                                   result.status == http::call_status::complete ? result.response.status : 0;
                               ++this->answers[status];
                           });
        this->timer.expires_after(request_interval);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                this->send_always();
            }
        });
    }
    void stop()
    {
        this->timer.cancel();
        this->deployment.run_for(time_limit);
        std::string line = std::to_string(this->count) + " requests sent; answered";
        for (const auto& [status, times] : this->answers) {
            line += " " + std::to_string(status) + ": " + std::to_string(times);
        }
        this->record.add(line);
    }

private:
    small_deployment& deployment;
    case_record& record;
    std::unique_ptr<http::http_client> client;
    boost::asio::steady_timer timer;
    std::size_t count = 0;
    std::map<unsigned, std::size_t> answers;
};

void configure(small_deployment& deployment)
{
    const platform::standins::route_description desk{"/desk/", small_deployment::service, false};
    const platform::standins::route_description press{"/press/", other_service, false};
    platform::standins::put_configuration(deployment.store, 1, {desk, press});
    auto spec = deployment.store.find("config", "main")->at("spec");
    auto& rules = spec.at("listeners").as_array().at(0).at("rules").as_array();
    rules.at(0).at("action").as_object()["allowed_regions"] = boost::json::array{home_region};
    deployment.store.put("config", "main", std::move(spec));
}

bool play(const std::string& directory, case_record& record)
{
    deployment_options how;
    how.zones = {{home_zone, home_region}, {"mkch-gueliz", "marrakech"}, {other_zone, "tangier"}};
    how.bounds = {"stable_window=4000ms",
                  "drain=2500ms",
                  "grace=6s",
                  "reuse_after=2s",
                  "config_apply=2500ms",
                  "retry_budget_ratio=0.2",
                  "budget_window=10s",
                  "evacuation=5000ms",
                  "retry_budget_burst=56",
                  "ttl_max=5s"};
    how.seed_gateways = {0, 1, 2};
    how.directory = directory;
    how.has_upstreams = false;
    small_deployment deployment(how, record);
    configure(deployment);
    backend_fleet fleet(deployment, record);
    deployment.start_all();
    deployment.run_for(milliseconds(5000));
    upload_traffic traffic(deployment, record);
    traffic.send_always();
    deployment.run_for(milliseconds(3000));
    if (has_trouble()) {
        fleet.replace_with_reuse();
    } else {
        deployment.run_for(lease);
    }
    deployment.run_for(milliseconds(3000));
    traffic.stop();
    if (fleet.arrivals_at_home() == 0) {
        throw std::runtime_error("no request reached a backend");
    }
    record.add("HOME: " + std::to_string(fleet.arrivals_elsewhere()) +
               " requests of a route that may be served in " + home_region +
               " only reached a backend in another region, with their bodies; " +
               std::to_string(fleet.arrivals_at_home()) + " stayed there");
    return fleet.arrivals_elsewhere() == 0;
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
