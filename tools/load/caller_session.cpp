#include "caller_session.h"

#include <charconv>

#include "global/error.h"
#include "global/json_reader.h"

#include <boost/json.hpp>

namespace buckthornhill::load {
using requests::outcome;

namespace {
constexpr unsigned status_ticket_required = 428;
constexpr std::chrono::milliseconds unreachable_period{1000};

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

caller_session::caller_session(http::http_client& http_client, caller_configuration settings)
    : client(http_client)
    , configuration(std::move(settings))
{
}

void caller_session::run(const operation& requested, result_hook on_result)
{
    auto state = std::make_shared<pending_operation>();
    state->requested = requested;
    state->on_result = std::move(on_result);
    const auto& current_binding = this->bindings[requested.service];
    if (now() < current_binding.valid_until) {
        state->addresses = current_binding.addresses;
        this->send(state);
        return;
    }
    this->look_up(state);
}

void caller_session::look_up(const pending_operation_ptr& state)
{
    ++this->lookups;
    ++state->result.attempts;
    const auto& bootstrap = this->configuration.bootstrap;
    for (std::size_t i = 0; i < bootstrap.size(); ++i) {
        if (!this->is_marked_unreachable(bootstrap[this->next_bootstrap % bootstrap.size()])) {
            break;
        }
        ++this->next_bootstrap;
    }
    const auto server = http::parse_endpoint(bootstrap[this->next_bootstrap % bootstrap.size()]);
    http::http_request request;
    request.target = "/.buckthornhill/lookup?service=" + state->requested.service.str() +
                     "&region=" + this->configuration.region.str() +
                     (state->requested.method == "GET" ? "" : "&tickets=8");
    this->client.send(server, std::move(request), now() + std::chrono::milliseconds(500),
                      http::connection_choice::reuse,
                      [this, state](const http::call_result& call) { this->on_lookup(state, call); });
}

void caller_session::on_lookup(const pending_operation_ptr& state, const http::call_result& call)
{
    auto& current_binding = this->bindings[state->requested.service];
    try {
        if (call.status != http::call_status::complete || call.response.status != 200) {
            throw error("the look-up failed");
        }
        const auto value = parse_json(call.response.body, "lookup");
        const json_reader reader(value, "lookup");
        current_binding = {};
        for (std::size_t i = 0; i < reader.array("entries").size(); ++i) {
            current_binding.addresses.push_back(reader.element("entries", i).text("address"));
        }
        current_binding.valid_until = now() + std::chrono::milliseconds(reader.integer("ttl_ms"));
        if (reader.has("tickets")) {
            const auto tickets = reader.child("tickets");
            const incarnation_id incarnation(std::stoull(tickets.text("incarnation")));
            for (std::uint64_t i = 0; i < tickets.unsigned_integer("count"); ++i) {
                current_binding.tickets.push_back(
                    {incarnation, ticket_number(tickets.unsigned_integer("first") + i)});
            }
        }
    } catch (const error&) {
        if (call.status != http::call_status::complete) {
            const auto& addresses = this->configuration.bootstrap;
            this->unreachable_until[addresses[this->next_bootstrap % addresses.size()]] =
                now() + unreachable_period;
        }
        ++this->next_bootstrap;
        if (state->result.attempts < this->configuration.max_attempts) {
            this->look_up(state);
        } else {
            this->finish(state, state->may_have_run ? outcome::unknown : outcome::not_executed);
        }
        return;
    }
    state->addresses = current_binding.addresses;
    state->next_address = 0;
    this->send(state);
}

void caller_session::send(const pending_operation_ptr& state)
{
    ++state->result.attempts;
    http::http_request request;
    request.method = state->requested.method;
    request.target = state->requested.target;
    request.headers.emplace_back("Order-Id", state->requested.order_id);
    request.headers.emplace_back("Bth-Customer", state->requested.customer.str());
    request.headers.emplace_back("Bth-Region", state->requested.region.str());
    request.headers.emplace_back("Bth-Deadline-Ms", std::to_string(state->requested.deadline.count()));
    const bool is_idempotent = state->requested.method == "GET";
    if (!is_idempotent) {
        auto& tickets = this->bindings[state->requested.service].tickets;
        if (state->ticket.empty() && !tickets.empty()) {
            state->ticket = requests::to_string(tickets.front());
            tickets.pop_front();
        }
        if (!state->ticket.empty()) {
            request.headers.emplace_back("Bth-Ticket", state->ticket);
        }
        request.body = state->requested.order_id;
    }
    const auto server = http::parse_endpoint(state->addresses[state->next_address % state->addresses.size()]);
    const auto deadline = now() + this->configuration.attempt_timeout;
    this->client.send(server, std::move(request), deadline, http::connection_choice::reuse,
                      [this, state](const http::call_result& call) { this->on_response(state, call); });
}

bool caller_session::is_matching_response(const pending_operation& state,
                                          const http::http_response& response) const
{
    const bool has_order_id = http::find_header(response.headers, "Answer-To") == state.requested.order_id;
    return has_order_id && response.body.starts_with(state.requested.target + " ");
}

bool caller_session::is_marked_unreachable(const std::string& address) const
{
    const auto found = this->unreachable_until.find(address);
    return found != this->unreachable_until.end() && now() < found->second;
}

void caller_session::add_tickets(const pending_operation_ptr& state, const http::http_response& response)
{
    const auto text = http::find_header(response.headers, "Bth-Tickets");
    const auto plus = text.find('+');
    if (plus == std::string_view::npos) {
        return;
    }
    const auto first = requests::parse_ticket(text.substr(0, plus));
    std::uint64_t count = 0;
    std::from_chars(text.data() + plus + 1, text.data() + text.size(), count);
    auto& tickets = this->bindings[state->requested.service].tickets;
    for (std::uint64_t i = 0; i < count && tickets.size() < 64; ++i) {
        tickets.push_back({first.incarnation, first.number + ticket_number(i)});
    }
}

void caller_session::on_response(const pending_operation_ptr& state, const http::call_result& call)
{
    const bool is_idempotent = state->requested.method == "GET";
    if (call.status != http::call_status::complete) {
        this->unreachable_until[state->addresses[state->next_address % state->addresses.size()]] =
            now() + unreachable_period;
        state->result.was_refused_connection |= call.status == http::call_status::connect_failed;
        if (!is_idempotent && call.status != http::call_status::connect_failed) {
            state->may_have_run = true;
        }
        if (!is_idempotent && call.status == http::call_status::connect_failed && !state->may_have_run) {
            state->ticket.clear();
        }
        this->try_next(state);
        return;
    }
    state->result.status = call.response.status;
    state->result.reason = std::string(http::find_header(call.response.headers, "Bth-Reason"));
    this->add_tickets(state, call.response);
    auto result = outcome::unknown;
    try {
        result = requests::parse_outcome(http::find_header(call.response.headers, "Bth-Outcome"));
    } catch (const error&) {
        state->result.is_wrong_answer = true;
    }
    if (call.response.status == status_ticket_required &&
        state->result.attempts < this->configuration.max_attempts) {
        state->ticket.clear();
        this->send(state);
        return;
    }
    if (result == outcome::done && call.response.status == 200) {
        state->result.is_wrong_answer |= !this->is_matching_response(*state, call.response);
    }
    this->finish(state, result);
}

void caller_session::try_next(const pending_operation_ptr& state)
{
    if (state->result.attempts >= this->configuration.max_attempts) {
        const bool is_idempotent = state->requested.method == "GET";
        this->finish(state, is_idempotent || state->may_have_run ? outcome::unknown : outcome::not_executed);
        return;
    }
    do {
        ++state->next_address;
    } while (state->next_address < state->addresses.size() &&
             this->is_marked_unreachable(state->addresses[state->next_address]));
    if (state->next_address < state->addresses.size()) {
        this->send(state);
        return;
    }
    this->bindings.erase(state->requested.service);
    ++this->next_bootstrap;
    this->look_up(state);
}

void caller_session::finish(const pending_operation_ptr& state, outcome result)
{
    state->result.result = result;
    state->result.latency = now() - state->requested.intended_at;
    state->on_result(state->requested, state->result);
}
} // namespace buckthornhill::load
