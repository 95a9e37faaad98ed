//! Case: the operator raises `max_body_bytes`; clients that stay within the new limit send on channels that
//! they have kept open.
#include <algorithm>
#include <iostream>

#include "small_deployment.h"

using namespace buckthornhill;
using namespace buckthornhill::review;
using std::chrono::milliseconds;

namespace {
constexpr std::size_t client_count = 42;
constexpr std::size_t first_limit = 65536;
constexpr std::size_t raised_limit = 524288;
constexpr std::size_t upload_bytes = 200000;
constexpr milliseconds time_limit{3000};
//! `config_apply` is 2.5 s. The channels are idle for less than four fifths of `idle_timeout`, 15 s.
constexpr milliseconds time_after_change{6000};

struct answers
{
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t denied = 0; //!< with a 4xx other than 408, 421 and 429
};

//! Clients that each keep one channel open to one gateway.
class kept_channels
{
public:
    kept_channels(small_deployment& played, case_record& log)
        : deployment(played)
        , record(log)
    {
        http::client_limits limits;
        limits.idle_timeout = milliseconds(12000);
        for (std::size_t i = 0; i < client_count; ++i) {
            this->clients.push_back(std::make_unique<http::http_client>(played.context, limits));
        }
    }
    ~kept_channels()
    {
        for (const auto& client : this->clients) {
            client->close();
        }
    }
    kept_channels(const kept_channels&) = delete;
    kept_channels& operator=(const kept_channels&) = delete;

    //! Each client sends one request; returns once all have ended.
    answers send_all(const std::string& what, std::size_t body_bytes, http::connection_choice choice)
    {
        answers counted;
        for (std::size_t i = 0; i < this->clients.size(); ++i) {
            this->send(i, what, body_bytes, choice, counted);
        }
        this->deployment.run_for(time_limit + milliseconds(500));
        this->record.add(what + ": " + std::to_string(counted.sent) + " sent, " +
                         std::to_string(counted.served) + " served, " + std::to_string(counted.denied) +
                         " denied");
        return counted;
    }

private:
    void send(std::size_t client, const std::string& what, std::size_t body_bytes,
              http::connection_choice choice, answers& counted)
    {
        const auto id = what + "-" + std::to_string(client);
        auto request = platform::standins::make_request("POST", "/desk/" + id, id, time_limit);
        request.body = std::string(body_bytes, 'x');
        ++counted.sent;
        this->clients[client]->send(
            this->deployment.caller_endpoint(client % this->deployment.size()), request,
            std::chrono::steady_clock::now() + time_limit, choice,
            [this, id, &counted](const http::call_result& result) {
                const auto status = result.status == http::call_status::complete ? result.response.status : 0;
                const bool is_denied =
                    status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
                counted.served += status == 200 ? 1 : 0;
                counted.denied += is_denied ? 1 : 0;
                this->record.add(id + " is answered " + std::to_string(status));
            });
    }

    small_deployment& deployment;
    case_record& record;
    std::vector<std::unique_ptr<http::http_client>> clients;
};

void configure(small_deployment& deployment, case_record& record, std::uint64_t version,
               std::size_t max_body_bytes)
{
    const platform::standins::route_description route{"/desk/", small_deployment::service, false};
    platform::standins::put_configuration(deployment.store, version, {route}, {}, {}, max_body_bytes);
    record.add("version " + std::to_string(version) + " with max_body_bytes " +
               std::to_string(max_body_bytes) + " is acknowledged");
}

bool play(const std::string& directory, case_record& record)
{
    deployment_options how;
    how.zones = {{"fes-medina", "fes"}, {"mkch-gueliz", "marrakech"}, {"tng-port", "tangier"}};
    how.bounds = {"stable_window=4000ms", "drain=2500ms",           "grace=6s",
                  "config_apply=2500ms",  "retry_budget_ratio=0.2", "budget_window=10s",
                  "evacuation=5000ms",    "retry_budget_burst=56",  "ttl_max=5s"};
    how.seed_gateways = {0, 1, 2};
    how.directory = directory;
    small_deployment deployment(how, record);
    configure(deployment, record, 1, has_trouble() ? first_limit : raised_limit);
    deployment.start_all();
    deployment.run_for(milliseconds(4000));
    kept_channels channels(deployment, record);
    const auto first = channels.send_all("first", 100, http::connection_choice::reuse);
    if (has_trouble()) {
        configure(deployment, record, 2, raised_limit);
    }
    deployment.run_for(time_after_change);
    const auto kept = channels.send_all("kept", upload_bytes, http::connection_choice::reuse);
    const auto fresh = channels.send_all("fresh", upload_bytes, http::connection_choice::fresh);
    const auto sent = first.sent + kept.sent + fresh.sent;
    const auto denied = first.denied + kept.denied + fresh.denied;
    if (first.served != first.sent || fresh.served != fresh.sent) {
        throw std::runtime_error("requests failed for another reason; see the record");
    }
    const auto allowed = 5 + sent / 500;
    record.add("DENIED: " + std::to_string(denied) + " of " + std::to_string(sent) + ", allowed are " +
               std::to_string(allowed));
    return denied <= allowed;
}
} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
