#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>

#include "http/http_client.h"
#include "load_types.h"

namespace buckthornhill::load {
//! One caller: looks up entry instances, binds to the first one, sends requests and resends them with the
//! same ticket.
class caller_session
{
public:
    using result_hook = std::function<void(const operation&, const operation_result&)>;

    caller_session(http::http_client& client, caller_configuration configuration);

    void run(const operation& requested, result_hook on_result);
    //! Number of look-ups sent.
    std::size_t lookup_count() const { return this->lookups; }

private:
    struct binding
    {
        std::vector<std::string> addresses;
        std::deque<requests::ticket> tickets;
        time_point valid_until{};
    };
    struct pending_operation
    {
        operation requested;
        result_hook on_result;
        operation_result result;
        std::size_t next_address = 0;
        std::vector<std::string> addresses;
        std::string ticket;
        bool may_have_run = false; //!< sent with its ticket, without a definite response so far
    };
    using pending_operation_ptr = std::shared_ptr<pending_operation>;

    void look_up(const pending_operation_ptr& state);
    void on_lookup(const pending_operation_ptr& state, const http::call_result& call);
    void send(const pending_operation_ptr& state);
    void on_response(const pending_operation_ptr& state, const http::call_result& call);
    void add_tickets(const pending_operation_ptr& state, const http::http_response& response);
    void try_next(const pending_operation_ptr& state);
    void finish(const pending_operation_ptr& state, requests::outcome result);
    bool is_matching_response(const pending_operation& state, const http::http_response& response) const;

    http::http_client& client;
    caller_configuration configuration;
    bool is_marked_unreachable(const std::string& address) const;

    std::unordered_map<service_id, binding> bindings;
    std::unordered_map<std::string, time_point>
        unreachable_until; //!< for addresses where a request got no response
    std::size_t next_bootstrap = 0;
    std::size_t lookups = 0;
};
} // namespace buckthornhill::load
