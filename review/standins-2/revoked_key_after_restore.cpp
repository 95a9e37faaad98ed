//! Case: the store comes back from a copy that still has a revoked key, while one gateway is started again.
#include <algorithm>
#include <map>
#include <set>

#include <boost/asio/steady_timer.hpp>

#include "small_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::review;
using std::chrono::milliseconds;

namespace {
constexpr const char* kept_key = "k-kept";
constexpr const char* revoked_key = "k-revoked";
constexpr const char* account = "pisarna";
constexpr milliseconds revoke_bound{5000};
constexpr milliseconds time_limit{1000};
constexpr milliseconds request_interval{20};
//! The sheet's 4 ms an answer and twice 12 ms between two regions.
constexpr milliseconds store_delay{28};
constexpr milliseconds store_away{700};
constexpr milliseconds restart_delay{200};  //!< after the store's return
constexpr milliseconds rewrite_delay{2000}; //!< of the operator, after the store's return
constexpr std::size_t restarted = 1;

void configure(small_deployment& deployment, case_record& record, std::uint64_t version, bool has_both_keys)
{
    const platform::standins::route_description route{"/desk/", small_deployment::service, true};
    std::vector<std::string> keys{kept_key};
    if (has_both_keys) {
        keys.emplace_back(revoked_key);
    }
    platform::standins::put_configuration(deployment.store, version, {route}, {}, {{account, keys}});
    record.add("version " + std::to_string(version) + (has_both_keys ? " with " : " without ") + revoked_key +
               " is acknowledged");
}

//! Sends requests with one of the keys to all gateways in turn.
class key_traffic
{
public:
    key_traffic(small_deployment& played, case_record& log)
        : deployment(played)
        , record(log)
        , client(std::make_unique<http::http_client>(played.context, http::client_limits{}))
        , timer(played.context)
    {
    }
    ~key_traffic()
    {
        this->timer.cancel();
        this->client->close();
    }
    key_traffic(const key_traffic&) = delete;
    key_traffic& operator=(const key_traffic&) = delete;

    void send_always()
    {
        for (std::size_t i = 0; i < this->deployment.size(); ++i) {
            this->send(i, revoked_key);
        }
        this->send(this->count % this->deployment.size(), kept_key);
        this->timer.expires_after(request_interval);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure) {
                this->send_always();
            }
        });
    }
    void stop() { this->timer.cancel(); }
    //! When the request was sent; none if it had another key.
    std::optional<milliseconds> sent_with_revoked_key(const std::string& id) const
    {
        const auto found = this->revoked_sent_at.find(id);
        return found == this->revoked_sent_at.end() ? std::nullopt : std::optional(found->second);
    }
    std::size_t served_with_kept_key() const { return this->kept_served; }

private:
    void send(std::size_t gateway, const std::string& key)
    {
        const auto id = "r" + std::to_string(++this->count);
        auto request = platform::standins::make_request("GET", "/desk/" + id, id, time_limit);
        platform::standins::set_api_key(request, key);
        if (key == revoked_key) {
            this->revoked_sent_at[id] = this->record.now();
        }
        this->client->send(
            this->deployment.caller_endpoint(gateway), request, std::chrono::steady_clock::now() + time_limit,
            http::connection_choice::fresh, [this, id, key, gateway](const http::call_result& result) {
                const auto status = result.status == http::call_status::complete ? result.response.status : 0;
                this->kept_served += key == kept_key && status == 200 ? 1 : 0;
                this->record.add(id + " with " + key + " at gateway " + std::to_string(gateway) +
                                 " is answered " + std::to_string(status));
            });
    }

    small_deployment& deployment;
    case_record& record;
    std::unique_ptr<http::http_client> client;
    boost::asio::steady_timer timer;
    std::map<std::string, milliseconds> revoked_sent_at;
    std::size_t count = 0;
    std::size_t kept_served = 0;
};

void restore_and_restart(small_deployment& deployment, case_record& record)
{
    record.add("the store is away");
    deployment.set_store_away(true);
    deployment.store.restore_copy(store_away);
    deployment.kill(restarted);
    deployment.run_for(store_away);
    deployment.set_store_away(false);
    record.add("the store is back from its copy");
    deployment.run_for(restart_delay);
    deployment.start(restarted);
    deployment.run_for(rewrite_delay - restart_delay);
    configure(deployment, record, 2, false);
}

bool has_held(const small_deployment& deployment, const key_traffic& traffic, milliseconds revoked_at,
              case_record& record)
{
    std::size_t broken = 0;
    for (const auto& run : deployment.runs) {
        const auto sent_at = traffic.sent_with_revoked_key(run.request);
        if (run.is_executed && sent_at && *sent_at > revoked_at + revoke_bound) {
            ++broken;
            record.add(run.request + ", sent at " + std::to_string(sent_at->count()) + " ms with " +
                       revoked_key + ", ran at " + run.upstream + " for account " + run.account);
        }
    }
    record.add("CONFIG: " + std::to_string(broken) + " requests ran that were sent with the key later than " +
               std::to_string(revoke_bound.count()) + " ms after the ack that took it away; " +
               std::to_string(traffic.served_with_kept_key()) + " were served with the other key");
    return broken == 0;
}

bool play(const std::string& directory, case_record& record)
{
    deployment_options how;
    how.zones = {{"lj-a", "ljubljana"}, {"mb-a", "maribor"}, {"kp-a", "koper"}};
    how.bounds = {"stable_window=4000ms", "drain=3000ms",          "grace=6s",
                  "config_apply=3000ms",  "strict_revoke=true",    "revoke=5000ms",
                  "quota_window=5s",      "quota_overrun=0.1",     "retry_budget_ratio=0.2",
                  "quota_slack=20",       "budget_window=10s",     "evacuation=5000ms",
                  "ttl_max=5s",           "retry_budget_burst=162"};
    how.seed_gateways = {restarted};
    how.stale_seeds = 2;
    how.directory = directory;
    small_deployment deployment(how, record);
    deployment.store.name_era(1);
    deployment.store.set_faults({.delay = store_delay});
    configure(deployment, record, 1, true);
    deployment.start_all();
    deployment.run_for(milliseconds(6000));
    deployment.store.take_copy();
    record.add("the store is copied");
    deployment.run_for(milliseconds(500));
    configure(deployment, record, 2, false);
    const auto revoked_at = record.now();
    key_traffic traffic(deployment, record);
    traffic.send_always();
    deployment.run_for(revoke_bound + milliseconds(1000));
    if (has_trouble()) {
        restore_and_restart(deployment, record);
    } else {
        deployment.run_for(store_away + rewrite_delay);
    }
    deployment.run_for(milliseconds(4000));
    traffic.stop();
    deployment.run_for(time_limit);
    if (traffic.served_with_kept_key() == 0) {
        throw std::runtime_error("no request was served with the key in force");
    }
    return has_held(deployment, traffic, revoked_at, record);
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
