#include "request_load.h"

#include <algorithm>

#include "chunked_call.h"
#include "platform_messages.h"

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr int max_requests_per_gateway = 40; //!< upper bound of a random number of requests
constexpr int tries = 2;
constexpr int impatient_tries = 4;
constexpr std::uint64_t leaving_period = 5; //!< one caller in so many leaves early
constexpr milliseconds min_stay{50};
//! Callers wait a third of their time at most before they try again.
constexpr int max_wait_part = 3;
constexpr milliseconds crashing_wait{1500};
constexpr milliseconds min_time_to_try_again{50};
constexpr std::uint64_t min_upload_bytes = 60'000;
constexpr std::uint64_t max_upload_bytes = 360'000;
constexpr std::size_t chunk_bytes = 7'000; //!< no divisor of a buffer of the gateway

time_point now()
{
    return std::chrono::steady_clock::now();
}

milliseconds left_until(time_point end)
{
    return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(end - now()));
}
} // namespace

request_outcome outcome_of(const http::http_request& request, const http::call_result& result)
{
    if (result.status != http::call_status::complete) {
        return result.status == http::call_status::broken ? request_outcome::broken
                                                          : request_outcome::unknown;
    }
    const auto answer = read_caller_response(request, result.response);
    if (answer.is_success) {
        return answer.is_authentic ? request_outcome::whole : request_outcome::inauthentic;
    }
    if (answer.says_unknown_key) {
        return request_outcome::rejected;
    }
    if (answer.says_no_route) {
        return request_outcome::no_route;
    }
    return answer.guarantees_not_executed ? request_outcome::refused : request_outcome::unknown;
}

request_load::request_load(boost::asio::io_context& io, delayed_calls& later, const deployment& played,
                           const gateway_fleet& fleet, const options& options_of_load, run_record& run)
    : context(io)
    , calls(later)
    , description(played)
    , gateways(fleet)
    , how(options_of_load)
    , record(run)
    , random(options_of_load.seed)
    , callers(options_of_load.callers)
    , upload_random(options_of_load.seed)
    , crash_client(io, http::client_limits{})
{
    for (auto& one : this->callers) {
        one.client = std::make_unique<http::http_client>(io, http::client_limits{});
    }
}

void request_load::start()
{
    for (std::size_t kind = 0; kind < this->description.kinds.size(); ++kind) {
        this->schedule_next(kind);
    }
}

void request_load::schedule_next(std::size_t kind)
{
    const auto& sent = this->description.kinds[kind];
    std::exponential_distribution<double> interval(sent.requests_per_second * this->how.scale);
    const auto pause = std::chrono::duration<double>(interval(this->random));
    this->calls.run_after(std::chrono::duration_cast<milliseconds>(pause), [this, kind] {
        if (!this->is_over) {
            this->send_new(this->description.kinds[kind]);
            this->schedule_next(kind);
        }
    });
}

//! A caller whose gateway is stopping stays until the connection ends.
std::size_t request_load::choose_gateway()
{
    std::size_t chosen = 0;
    for (std::size_t i = 0; i < this->gateways.size(); ++i) {
        chosen = this->draw(this->gateways.size());
        if (this->gateways.takes_requests(chosen)) {
            break;
        }
    }
    return chosen;
}

void request_load::become_impatient(milliseconds time)
{
    this->impatient_until = now() + time;
}

void request_load::leave_early(milliseconds time)
{
    this->leaving_until = now() + time;
}

void request_load::send_new(const request_kind& kind)
{
    attempt what;
    what.kind = &kind;
    what.target = kind.path_prefix + std::to_string(this->draw(kind.objects));
    what.deadline = now() + kind.caller_wait;
    what.tries_left = now() < this->impatient_until ? impatient_tries : tries;
    if (this->how.accounts != nullptr) {
        what.identity = this->how.accounts->draw_caller();
    }
    this->send(this->draw(this->callers.size()), what);
}

void request_load::add_upload(const request_kind& kind, http::http_request& request)
{
    std::uniform_real_distribution<double> part(0, 1);
    if (this->description.upload_share <= 0 || kind.may_repeat ||
        part(this->upload_random) >= this->description.upload_share) {
        return;
    }
    std::uniform_int_distribution<std::uint64_t> length(min_upload_bytes, max_upload_bytes);
    std::string body(length(this->upload_random), '\0');
    std::ranges::generate(body, [this] { return static_cast<char>(this->upload_random()); });
    request.body = std::move(body);
}

void request_load::add_identity(const caller_identity& identity, http::http_request& request)
{
    const auto id = std::string(http::find_header(request.headers, "Request-Id"));
    if (!identity.key.empty()) {
        set_api_key(request, identity.key);
    }
    if (!identity.forged_account.empty()) {
        set_account(request, identity.forged_account);
    }
    this->record.accounts.on_sent(now(), id, identity.key);
    if (!this->record.accounts.is_owed(now(), identity.key)) {
        this->record.guarantees.on_not_owed(id);
    }
}

void request_load::record_sent(const request_kind& kind, const std::string& id, std::size_t gateway,
                               milliseconds announced)
{
    const auto at = now();
    const auto& name = this->gateways.at(gateway).name();
    this->record.guarantees.on_sent(at, id, name, kind.may_repeat);
    this->record.arrivals.on_sent(at, id, name);
    this->record.attempts.on_sent(at, id, name, announced);
    const auto service = this->service_by_prefix.find(kind.path_prefix);
    if (service != this->service_by_prefix.end()) {
        this->record.retries.on_sent(at, service->second);
    }
}

void request_load::send(std::size_t number, const attempt& what)
{
    auto& from = this->callers[number];
    if (--from.requests_left < 0 || !this->gateways.at(from.gateway).is_running()) {
        from.requests_left = 1 + static_cast<int>(this->draw(max_requests_per_gateway));
        from.gateway = this->choose_gateway();
    }
    const auto id = std::to_string(++this->last_request) + what.kind->path_prefix;
    const auto announced = left_until(what.deadline);
    auto request = make_request(what.kind->may_repeat ? "GET" : "POST", what.target, id, announced);
    this->record_sent(*what.kind, id, from.gateway, announced);
    this->add_upload(*what.kind, request);
    if (this->how.accounts != nullptr) {
        this->add_identity(what.identity, request);
    }
    this->record.bodies.on_sent(id, fingerprint_of({request.body}));
    auto attempt_now = what;
    --attempt_now.tries_left;
    if (request.body.size() >= min_upload_bytes && this->upload_random() % 2 == 0) {
        send_in_chunks(this->context, this->gateways.at(from.gateway).caller_endpoint(), request, chunk_bytes,
                       what.deadline,
                       [this, alive = std::weak_ptr<bool>(this->lifetime), number, attempt_now,
                        request](const http::call_result& result) {
                           if (!alive.expired()) {
                               this->on_result(number, attempt_now, request, result);
                           }
                       });
        return;
    }
    const auto call =
        from.client->send(this->gateways.at(from.gateway).caller_endpoint(), request, what.deadline,
                          http::connection_choice::reuse,
                          [this, number, attempt_now, request](const http::call_result& result) {
                              this->on_result(number, attempt_now, request, result);
                          });
    if (now() < this->leaving_until && this->draw(leaving_period) == 0) {
        const auto stay = min_stay + milliseconds(this->draw(static_cast<std::uint64_t>(announced.count())));
        this->calls.run_after(stay, [client = from.client.get(), call] { client->cancel(call); });
    }
}

void request_load::on_result(std::size_t number, const attempt& what, const http::http_request& request,
                             const http::call_result& result)
{
    const auto id = std::string(http::find_header(request.headers, "Request-Id"));
    const auto outcome = outcome_of(request, result);
    const auto at = now();
    this->record.guarantees.on_outcome(at, id, outcome);
    this->record.attempts.on_outcome(at, id);
    if (outcome == request_outcome::rejected) {
        this->record.accounts.on_rejected(at, id);
    }
    const bool has_left =
        result.status == http::call_status::timed_out || result.status == http::call_status::cancelled;
    if (has_left) {
        this->record.arrivals.on_caller_left(at, id);
    }
    if (outcome == request_outcome::broken || outcome == request_outcome::unknown) {
        this->callers[number].requests_left = 0;
    }
    if (!has_left) {
        this->try_again(number, what, result, outcome);
    }
}

void request_load::try_again(std::size_t number, const attempt& what, const http::call_result& result,
                             request_outcome outcome)
{
    const bool is_refused = outcome == request_outcome::refused;
    const bool was_never_sent = result.status == http::call_status::connect_failed;
    const bool has_failed = outcome == request_outcome::broken || outcome == request_outcome::unknown;
    const bool may_try = is_refused || was_never_sent || (what.kind->may_repeat && has_failed);
    const auto left = left_until(what.deadline);
    if (!may_try || what.tries_left <= 0 || left < min_time_to_try_again || this->is_over) {
        return;
    }
    milliseconds wait{0};
    if (is_refused && now() >= this->impatient_until) {
        wait = std::min(retry_after_of(result.response), left / max_wait_part);
    }
    this->calls.run_after(wait, [this, number, what] {
        if (!this->is_over) {
            this->send(number, what);
        }
    });
}

void request_load::send_crashing(const request_kind& kind, const std::string& target, const std::string& body,
                                 const std::string& key)
{
    const auto gateway = this->choose_gateway();
    const auto id = std::to_string(++this->last_request) + kind.path_prefix;
    auto message = make_request(kind.may_repeat ? "GET" : "POST", target, id, crashing_wait);
    message.body = body;
    this->record_sent(kind, id, gateway, crashing_wait);
    if (this->how.accounts != nullptr) {
        this->add_identity({key, {}}, message);
    }
    this->record.arrivals.on_crashing_request(id, target);
    this->crash_client.send(this->gateways.at(gateway).caller_endpoint(), message, now() + crashing_wait,
                            http::connection_choice::fresh,
                            [this, id, message](const http::call_result& result) {
                                this->record.guarantees.on_outcome(now(), id, outcome_of(message, result));
                                this->record.attempts.on_outcome(now(), id);
                            });
}
} // namespace buckthornhill::soak
