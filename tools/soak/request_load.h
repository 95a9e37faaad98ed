#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "account_plan.h"
#include "delayed_calls.h"
#include "deployment.h"
#include "gateway_fleet.h"
#include "http/http_client.h"
#include "run_record.h"

namespace buckthornhill::soak {
request_outcome outcome_of(const http::http_request& request, const http::call_result& result);

//! Callers that send the requests of a deployment at their rates, whatever becomes of them, and try some
//! again as the user documentation says. What they draw depends on the seed and not on the faults.
class request_load
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        double scale = 1; //!< of the deployment's rates
        std::size_t callers = 40;
        account_plan* accounts = nullptr; //!< null in runs without accounts
    };

    request_load(boost::asio::io_context& context, delayed_calls& calls, const deployment& description,
                 const gateway_fleet& gateways, const options& how, run_record& record);

    void start();
    void stop() { this->is_over = true; }
    //! Services by path prefix in the current configuration.
    void on_configuration(std::map<std::string, std::string> services)
    {
        this->service_by_prefix = std::move(services);
    }
    //! For some time callers try again at once and more often than they should.
    void become_impatient(std::chrono::milliseconds time);
    //! For some time some callers leave before their responses.
    void leave_early(std::chrono::milliseconds time);
    //! Sends a request once, on a connection of its own. It is not tried again.
    void send_crashing(const request_kind& kind, const std::string& target, const std::string& body,
                       const std::string& key);
    //! Random choice of a gateway that runs and does not stop, if there is one.
    std::size_t choose_gateway();

private:
    struct caller
    {
        std::unique_ptr<http::http_client> client;
        std::size_t gateway = 0;
        int requests_left = 0; //!< before the caller chooses another gateway
    };
    //! One request of a caller, which is tried again under another id.
    struct attempt
    {
        const request_kind* kind = nullptr;
        std::string target;
        time_point deadline; //!< until which the caller waits
        int tries_left = 0;
        caller_identity identity; //!< in runs with accounts
    };

    void schedule_next(std::size_t kind);
    void send_new(const request_kind& kind);
    void send(std::size_t number, const attempt& what);
    //! Gives the request a large body, whose size it draws, if it is an upload.
    void add_upload(const request_kind& kind, http::http_request& request);
    void add_identity(const caller_identity& identity, http::http_request& request);
    void on_result(std::size_t number, const attempt& what, const http::http_request& request,
                   const http::call_result& result);
    void try_again(std::size_t number, const attempt& what, const http::call_result& result,
                   request_outcome outcome);
    void record_sent(const request_kind& kind, const std::string& id, std::size_t gateway,
                     std::chrono::milliseconds announced);
    std::uint64_t draw(std::uint64_t bound) { return this->random() % bound; }

    boost::asio::io_context& context;
    delayed_calls& calls;
    const deployment& description;
    const gateway_fleet& gateways;
    options how;
    run_record& record;
    std::mt19937_64 random;
    std::vector<caller> callers;
    std::mt19937_64 upload_random; //!< its own, so that runs without uploads draw the same as before
    //! Expires with this object, whose calls in chunks do not end with it.
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
    http::http_client crash_client;
    std::map<std::string, std::string> service_by_prefix;
    std::uint64_t last_request = 0;
    time_point impatient_until{};
    time_point leaving_until{};
    bool is_over = false;
};
} // namespace buckthornhill::soak
