//! Case: the operator takes away the last tenant, so the list `tenants` of the configuration is empty.
#include <algorithm>
#include <map>

#include "small_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::review;
using std::chrono::milliseconds;

namespace {
constexpr const char* account = "pisarna";
constexpr const char* other_account = "zdruzenje";
constexpr const char* first_key = "k-first";
constexpr const char* unknown_key = "k-unknown"; //!< in no configuration
constexpr milliseconds revoke_bound{5000};
constexpr milliseconds time_limit{3000};
constexpr int requests_of_each_kind = 10;

struct sent_request
{
    std::string key; //!< empty: none
    milliseconds sent_at{0};
};

void configure_tenant(small_deployment& deployment, case_record& record)
{
    const platform::standins::route_description route{"/desk/", small_deployment::service, false};
    platform::standins::put_configuration(deployment.store, 1, {route}, {}, {{account, {first_key}}});
    record.add("version 1 with one tenant is acknowledged");
}

void remove_last_tenant(small_deployment& deployment, case_record& record)
{
    auto spec = deployment.store.find("config", "main")->at("spec").as_object();
    spec["config_version"] = "00000002";
    spec["tenants"] = boost::json::array{};
    deployment.store.put("config", "main", std::move(spec));
    record.add("version 2 with \"tenants\": [] is acknowledged");
}

class key_clients
{
public:
    key_clients(small_deployment& played, case_record& log)
        : deployment(played)
        , record(log)
        , client(std::make_unique<http::http_client>(played.context, http::client_limits{}))
    {
    }
    ~key_clients() { this->client->close(); }
    key_clients(const key_clients&) = delete;
    key_clients& operator=(const key_clients&) = delete;

    //! Sends requests with the first key, with an unknown one and with none to all gateways, and waits.
    void send_all(const std::string& when)
    {
        for (int round = 0; round < requests_of_each_kind; ++round) {
            for (std::size_t gateway = 0; gateway < this->deployment.size(); ++gateway) {
                for (const std::string key : {first_key, unknown_key, ""}) {
                    this->send(gateway, key, when);
                }
            }
            this->deployment.run_for(milliseconds(50));
        }
        this->deployment.run_for(time_limit + milliseconds(500));
    }
    const std::map<std::string, sent_request>& sent() const { return this->requests; }

private:
    void send(std::size_t gateway, const std::string& key, const std::string& when)
    {
        const auto id = when + "-" + std::to_string(this->requests.size());
        auto request = platform::standins::make_request("POST", "/desk/" + id, id, time_limit);
        if (!key.empty()) {
            platform::standins::set_api_key(request, key);
        }
        platform::standins::set_account(request, other_account);
        this->requests[id] = {key, this->record.now()};
        this->client->send(
            this->deployment.caller_endpoint(gateway), request, std::chrono::steady_clock::now() + time_limit,
            http::connection_choice::fresh, [this, id, key, gateway](const http::call_result& result) {
                const auto status = result.status == http::call_status::complete ? result.response.status : 0;
                this->record.add(id + " with " + (key.empty() ? "no key" : key) + " at gateway " +
                                 std::to_string(gateway) + " is answered " + std::to_string(status));
            });
    }

    small_deployment& deployment;
    case_record& record;
    std::unique_ptr<http::http_client> client;
    std::map<std::string, sent_request> requests;
};

struct violations
{
    int revoked = 0;     //!< CONFIG: the key was taken away longer than `revoke` ago
    int never_known = 0; //!< ROUTE: no configuration ever held the key
    int without_key = 0;
    int key_passed = 0;      //!< UNASKED: the backend got the key
    int account_claimed = 0; //!< UNASKED: the backend got the account that the client claimed

    int total() const { return this->revoked + this->never_known + this->key_passed + this->account_claimed; }
};

violations check(const small_deployment& deployment, const key_clients& clients,
                 std::optional<milliseconds> revoked_at, case_record& record)
{
    violations found;
    for (const auto& run : deployment.runs) {
        if (!run.is_executed) {
            continue;
        }
        const auto& sent = clients.sent().at(run.request);
        const bool is_revoked =
            revoked_at && sent.key == first_key && sent.sent_at > *revoked_at + revoke_bound;
        found.revoked += is_revoked ? 1 : 0;
        found.never_known += sent.key == unknown_key ? 1 : 0;
        found.without_key += sent.key.empty() ? 1 : 0;
        found.key_passed += run.key.empty() ? 0 : 1;
        found.account_claimed += run.account == other_account ? 1 : 0;
        record.add(run.request + " ran at " + run.upstream + " for account '" + run.account + "' with key '" +
                   run.key + "'");
    }
    return found;
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
    how.seed_gateways = {0, 1, 2};
    how.directory = directory;
    small_deployment deployment(how, record);
    configure_tenant(deployment, record);
    deployment.start_all();
    deployment.run_for(milliseconds(6000));
    key_clients clients(deployment, record);
    clients.send_all("before");
    const auto served_before = deployment.runs.size();
    std::optional<milliseconds> revoked_at;
    if (has_trouble()) {
        remove_last_tenant(deployment, record);
        revoked_at = record.now();
    }
    deployment.run_for(revoke_bound + milliseconds(1000));
    clients.send_all("after");
    if (served_before == 0) {
        throw std::runtime_error("no request was served with the key in force");
    }
    const auto found = check(deployment, clients, revoked_at, record);
    record.add("CONFIG: " + std::to_string(found.revoked) +
               " requests with the key taken away ran; ROUTE: " + std::to_string(found.never_known) +
               " with a key that no config held; UNASKED: the key reached " +
               std::to_string(found.key_passed) + " backends' runs, the claimed Tenant-Id " +
               std::to_string(found.account_claimed) + "; without a key ran " +
               std::to_string(found.without_key));
    return found.total() == 0;
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
