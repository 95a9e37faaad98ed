#pragma once

#include <string>

#include "channel.h"

namespace buckthornhill::review {
enum class call_end {
    answered,
    no_channel, //!< the gateway could not be reached
    closed,     //!< the channel ended without a complete answer
    timed_out
};

struct call_outcome
{
    call_end end = call_end::no_channel;
    message response;

    bool is_success() const { return this->end == call_end::answered && this->response.status == 200; }
    //! The status promises that the request has not run and never will.
    bool is_refusal() const;
    std::string text() const;
};

struct call
{
    std::string method = "GET";
    std::string host;
    std::string target;
    std::string id;
    std::string object;
    std::string body;
    milliseconds time_left{4000};
};

//! Sends one request to a gateway on a new channel and waits for its answer.
call_outcome send_call(const address& gateway, const call& sent);
} // namespace buckthornhill::review
