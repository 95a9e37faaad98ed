//! Case: backends leave just after a gateway that was cut off from the store has it back.
#include <map>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "small_deployment.h"
#include "store_proxy.h"

using namespace buckthornhill;
using namespace buckthornhill::review;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds drain_bound{2000};
constexpr milliseconds stable_window{3000};
constexpr milliseconds cut_time{4000};
//! After the end of the cut.
constexpr milliseconds leave_delay{1200};
//! A backend serves for `drain` after the ack, and a little longer.
constexpr milliseconds end_delay{2300};
constexpr milliseconds time_limit{2000};
constexpr milliseconds request_interval{10};
constexpr std::size_t rounds = 3;
constexpr std::size_t leaving_per_round = 2;
constexpr std::size_t upstreams_per_zone = 4;

//! Sends requests that may run once to the first gateway.
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
        const auto request = platform::standins::make_request("POST", "/desk/" + id, id, time_limit);
        this->client->send(
            this->deployment.caller_endpoint(0), request, std::chrono::steady_clock::now() + time_limit,
            http::connection_choice::reuse, [this, id](const http::call_result& result) {
                const auto status = result.status == http::call_status::complete ? result.response.status : 0;
                ++this->answers[status];
                if (status != 200) {
                    this->record.add(id + " is answered " + std::to_string(status));
                }
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
        for (const auto& [status, times] : this->answers) {
            this->record.add(std::to_string(times) + " requests were answered " + std::to_string(status));
        }
        if (!this->answers.contains(200)) {
            throw std::runtime_error("no request was served");
        }
    }

private:
    small_deployment& deployment;
    case_record& record;
    std::unique_ptr<http::http_client> client;
    boost::asio::steady_timer timer;
    std::size_t count = 0;
    std::map<unsigned, std::size_t> answers;
};

struct removal
{
    milliseconds acknowledged_at;
    milliseconds in_touch_at; //!< of the first gateway
};

void play_round(small_deployment& deployment, store_proxy& proxy, case_record& record, std::size_t first,
                std::map<std::string, removal>& removals)
{
    if (has_trouble()) {
        proxy.set_cut(true);
        record.add("the first gateway is cut off from the store");
    }
    deployment.run_for(cut_time);
    if (has_trouble()) {
        proxy.set_cut(false);
        record.add("the cut is over");
    }
    const auto in_touch_at = record.now() + stable_window;
    deployment.run_for(leave_delay);
    for (std::size_t i = first; i < first + leaving_per_round; ++i) {
        deployment.leave(i);
        removals[deployment.upstream_id(i)] = {record.now(), in_touch_at};
    }
    deployment.run_for(end_delay);
    for (std::size_t i = first; i < first + leaving_per_round; ++i) {
        deployment.end(i);
    }
    deployment.run_for(stable_window);
}

std::size_t count_late_arrivals(const small_deployment& deployment, case_record& record,
                                const std::map<std::string, removal>& removals)
{
    const auto now = std::chrono::steady_clock::now();
    const auto recorded_now = record.now();
    std::size_t late = 0;
    for (const auto& run : deployment.runs) {
        const auto found = removals.find(run.upstream);
        if (found == removals.end() || run.is_misdirected) {
            continue;
        }
        const auto at = recorded_now - std::chrono::duration_cast<milliseconds>(now - run.started_at);
        const auto& [acknowledged_at, in_touch_at] = found->second;
        if (at > acknowledged_at + drain_bound && at > in_touch_at) {
            ++late;
            record.add(run.request + " reached " + run.upstream + " at " + std::to_string(at.count()) +
                       " ms, " + std::to_string((at - acknowledged_at).count()) + " ms after the ack");
        }
    }
    return late;
}

bool play(const std::string& directory, case_record& record)
{
    std::optional<store_proxy> proxy;
    deployment_options how;
    how.zones = {{"lz-north", "luzon"}, {"vs-cebu", "visayas"}, {"mn-davao", "mindanao"}};
    how.upstreams_per_zone = upstreams_per_zone;
    how.processing_time = milliseconds(200);
    how.bounds = {"stable_window=3000ms", "drain=2000ms",           "grace=6s",
                  "config_apply=2000ms",  "retry_budget_ratio=0.2", "budget_window=10s",
                  "evacuation=5000ms",    "retry_budget_burst=58",  "ttl_max=5s"};
    how.seed_gateways = {0, 1, 2};
    how.directory = directory;
    how.first_gateway_store = [&proxy](boost::asio::io_context& context, const http::endpoint& store) {
        auto own = small_deployment::free_proxy_endpoint();
        proxy.emplace(context, own, store);
        return own;
    };
    small_deployment deployment(how, record);
    const platform::standins::route_description route{"/desk/", small_deployment::service, false};
    platform::standins::put_configuration(deployment.store, 1, {route});
    deployment.start_all();
    deployment.run_for(milliseconds(6000));
    steady_traffic traffic(deployment, record);
    traffic.send_always();
    deployment.run_for(milliseconds(1000));
    std::map<std::string, removal> removals;
    for (std::size_t i = 0; i < rounds; ++i) {
        play_round(deployment, *proxy, record, i * upstreams_per_zone, removals);
    }
    traffic.stop();
    const auto late = count_late_arrivals(deployment, record, removals);
    record.add("DRAIN: " + std::to_string(late) + " requests reached a backend later than " +
               std::to_string(drain_bound.count()) + " ms after the ack of its leaving");
    proxy.reset();
    return late == 0;
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
