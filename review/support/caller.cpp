#include "caller.h"

namespace buckthornhill::review {
namespace {
constexpr std::chrono::seconds connect_timeout{1};
constexpr unsigned status_ok = 200;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

message request_of(const call& sent)
{
    message request;
    request.method = sent.method;
    request.target = sent.target;
    request.headers = {{"Host", sent.host},
                       {"Request-Id", sent.id},
                       {"Affinity-Key", sent.object},
                       {"Request-Deadline", std::to_string(sent.time_left.count())}};
    request.body = sent.body;
    return request;
}
} // namespace

bool call_outcome::is_refusal() const
{
    const auto status = this->response.status;
    return this->end == call_end::answered &&
           (status == status_request_timeout || status == status_misdirected || status == status_too_many ||
            status == status_unavailable);
}

std::string call_outcome::text() const
{
    switch (this->end) {
    case call_end::answered:
        return std::to_string(this->response.status) +
               (this->response.status == status_ok ? " from " + this->response.header("Response-Signature")
                                                   : std::string());
    case call_end::no_channel:
        return "no channel";
    case call_end::closed:
        return "channel closed without an answer";
    case call_end::timed_out:
        return "no answer within the time limit";
    }
    return {};
}

call_outcome send_call(const address& gateway, const call& sent)
{
    call_outcome outcome;
    channel connection(channel::open(gateway, connect_timeout));
    if (!connection.is_open()) {
        return outcome;
    }
    const auto deadline = std::chrono::steady_clock::now() + sent.time_left;
    if (!connection.write_request(request_of(sent))) {
        outcome.end = call_end::closed;
        return outcome;
    }
    const auto status = connection.read_response(outcome.response, deadline);
    if (status == read_status::complete) {
        outcome.end = call_end::answered;
    } else {
        outcome.end = status == read_status::timed_out ? call_end::timed_out : call_end::closed;
    }
    return outcome;
}
} // namespace buckthornhill::review
