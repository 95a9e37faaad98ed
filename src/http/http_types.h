#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/memory_budget.h"

//! HTTP messages as the other modules see them; Boost.Beast stays inside the module.
namespace buckthornhill::http {
using header_list = std::vector<std::pair<std::string, std::string>>;

//! Compares header names, ignoring case.
bool is_same_header(std::string_view a, std::string_view b);
//! Value of the first header called `name` (any case), or an empty text.
std::string_view find_header(const header_list& headers, std::string_view name);

struct http_request
{
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string body;
    memory_reservation_ptr memory{}; //!< of the body; null without a budget
};

struct http_response
{
    unsigned status = 200;
    header_list headers;
    std::string body;
    memory_reservation_ptr memory{}; //!< of the body; null without a budget
};

//! IP address and port of a listener, written `address:port`.
struct endpoint
{
    std::string address;
    unsigned short port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
    std::string str() const { return this->address + ":" + std::to_string(this->port); }
};

//! Throws `http_error` when `text` is not `address:port`.
endpoint parse_endpoint(std::string_view text);

//! Bounds on what a client of a listener may send.
struct server_limits
{
    std::size_t max_header_bytes = 16UL * 1024;
    std::size_t max_body_bytes = 1024UL * 1024;
    std::size_t max_connections = 4096;
    std::chrono::milliseconds header_timeout{
        5000}; //!< from the first byte of a request to the end of its head
    std::chrono::milliseconds body_timeout{
        30000}; //!< for the rest of a request, and for sending a whole response
    std::chrono::milliseconds idle_timeout{60000};
    //! Requests of one connection that are read before the first of them is answered: twice what browsers
    //! sent in a row.
    std::size_t max_pipelined_requests = 8;
    std::size_t max_pipeline_bytes =
        1024UL * 1024; //!< of those requests and of responses that wait for earlier ones
    //! Of all bodies, in addition to the bounds on each connection; null: no bound.
    memory_budget_ptr memory{};
    //! Of the system's buffers of each connection; 0 leaves the system's sizes.
    std::size_t socket_buffer_bytes = 0;
};

struct client_limits
{
    std::size_t max_idle_per_endpoint = 64;
    std::size_t max_head_bytes = 16UL * 1024; //!< of a response; also of chunk extensions and trailers
    std::size_t max_body_bytes = 4UL * 1024 * 1024;
    //! Responses before the one that is waited for: interim ones, and those that belong to no call.
    int max_skipped_responses = 16;
    //! Of responses that are being read, over all calls; beyond it the call with the largest one fails.
    std::size_t max_buffered_bytes = 64UL * 1024 * 1024;
    std::chrono::milliseconds idle_timeout{30000};
    std::chrono::milliseconds recent_idle{1000}; //!< see `connection_choice::recent`
    std::chrono::milliseconds connect_timeout{5000};
    //! Bytes or keep-alive probes that the peer does not acknowledge within this time end the connection; 0
    //! leaves the system's time and sends no probes.
    std::chrono::milliseconds unacknowledged_timeout{0};
    memory_budget_ptr memory{}; //!< for responses, in addition to `max_buffered_bytes`; null: no bound
};

enum class call_status {
    complete,       //!< a whole response arrived
    connect_failed, //!< no byte of the request left this process
    broken,         //!< the connection failed after the request may have been read
    timed_out,      //!< the deadline passed; the connection is closed
    cancelled
};

struct call_result
{
    call_status status = call_status::broken;
    bool was_sent = false; //!< a byte of the request may have reached the server
    http_response response;
    std::string detail;
};

//! Value of `key` in the query part of `target`, or an empty text. Percent-encoding is decoded.
std::string query_value(std::string_view target, std::string_view key);
//! `target` without its query part.
std::string_view path_of(std::string_view target);
} // namespace buckthornhill::http
