//! Case: the store comes back from a copy without an evacuation, and the operator writes it again seconds
//! later.
#include <algorithm>
#include <map>

#include <boost/asio/steady_timer.hpp>

#include "small_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::review;
using std::chrono::milliseconds;

namespace {
constexpr const char* evacuated_zone = "tng-port";
constexpr milliseconds evacuation_bound{5000};
constexpr milliseconds stable_window{4000};
constexpr milliseconds time_limit{1000};
constexpr milliseconds request_interval{20};
constexpr milliseconds copy_age{2000};
constexpr milliseconds store_away{300};
constexpr milliseconds rewrite_delay{10000}; //!< of the operator, after the store's return

struct time_span
{
    milliseconds begin;
    milliseconds end;
};

//! Sends safe requests to all gateways in turn.
class steady_traffic
{
public:
    steady_traffic(small_deployment& played, case_record& log)
        : deployment(played)
        , record(log)
        , client(std::make_unique<http::http_client>(played.context, http::client_limits{}))
        , timer(played.context)
    {
    }
    ~steady_traffic()
    {
        this->timer.cancel();
        this->client->close();
    }
    steady_traffic(const steady_traffic&) = delete;
    steady_traffic& operator=(const steady_traffic&) = delete;

    void send_always()
    {
        const auto id = "r" + std::to_string(++this->count);
        auto request = platform::standins::make_request("GET", "/desk/" + id, id, time_limit);
        request.headers.emplace_back("Affinity-Key", std::to_string(this->count));
        this->client->send(this->deployment.caller_endpoint(this->count % this->deployment.size()), request,
                           std::chrono::steady_clock::now() + time_limit, http::connection_choice::reuse,
                           [this](const http::call_result& result) {
                               const bool is_ok = result.status == http::call_status::complete &&
                                                  result.response.status == 200;
                               this->served += is_ok ? 1 : 0;
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
        this->record.add(std::to_string(this->count) + " requests sent, " + std::to_string(this->served) +
                         " served");
    }
    std::size_t served_count() const { return this->served; }

private:
    small_deployment& deployment;
    case_record& record;
    std::unique_ptr<http::http_client> client;
    boost::asio::steady_timer timer;
    std::size_t count = 0;
    std::size_t served = 0;
};

std::size_t count_arrivals(const small_deployment& deployment, case_record& record, time_span judged)
{
    const auto now = std::chrono::steady_clock::now();
    const auto recorded_now = record.now();
    std::size_t arrivals = 0;
    for (const auto& run : deployment.runs) {
        const auto at = recorded_now - std::chrono::duration_cast<milliseconds>(now - run.started_at);
        const bool is_judged =
            run.domain == evacuated_zone && !run.is_misdirected && at >= judged.begin && at < judged.end;
        if (is_judged) {
            ++arrivals;
            record.add(run.request + " reached " + run.upstream + " at " + std::to_string(at.count()) +
                       " ms");
        }
    }
    return arrivals;
}

bool play(const std::string& directory, case_record& record)
{
    deployment_options how;
    how.zones = {{"fes-medina", "fes"}, {"mkch-gueliz", "marrakech"}, {evacuated_zone, "tangier"}};
    how.bounds = {"stable_window=4000ms", "drain=2500ms",           "grace=6s",
                  "config_apply=2500ms",  "retry_budget_ratio=0.2", "budget_window=10s",
                  "evacuation=5000ms",    "retry_budget_burst=56",  "ttl_max=5s"};
    how.seed_gateways = {0, 1, 2};
    how.directory = directory;
    small_deployment deployment(how, record);
    deployment.store.name_era(1);
    const platform::standins::route_description route{"/desk/", small_deployment::service, true};
    platform::standins::put_configuration(deployment.store, 1, {route});
    deployment.start_all();
    deployment.run_for(milliseconds(6000));
    steady_traffic traffic(deployment, record);
    traffic.send_always();
    deployment.run_for(milliseconds(2000));
    deployment.store.take_copy();
    record.add("the store is copied");
    deployment.run_for(copy_age / 2);
    platform::standins::set_evacuated(deployment.store, evacuated_zone, true);
    const auto evacuated_at = record.now();
    record.add(std::string("the evacuation of ") + evacuated_zone + " is acknowledged");
    deployment.run_for(copy_age / 2);
    if (has_trouble()) {
        record.add("the store is away");
        deployment.set_store_away(true);
        deployment.store.restore_copy(store_away);
    }
    deployment.run_for(store_away);
    deployment.set_store_away(false);
    const auto returned_at = record.now();
    record.add("the store is there");
    deployment.run_for(rewrite_delay);
    platform::standins::set_evacuated(deployment.store, evacuated_zone, true);
    const time_span judged{std::max(evacuated_at + evacuation_bound, returned_at + stable_window),
                           record.now()};
    record.add("the operator has written the evacuation again");
    deployment.run_for(milliseconds(3000));
    traffic.stop();
    deployment.run_for(time_limit);
    if (traffic.served_count() == 0) {
        throw std::runtime_error("no request was served");
    }
    const auto arrivals = count_arrivals(deployment, record, judged);
    record.add("EVAC: " + std::to_string(arrivals) + " requests reached the evacuated zone between " +
               std::to_string(judged.begin.count()) + " and " + std::to_string(judged.end.count()) + " ms");
    return arrivals == 0;
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
