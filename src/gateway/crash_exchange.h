#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/crash_message_codec.h"
#include "gateway/gateway_settings.h"
#include "http/http_client.h"
#include "http/http_exchange.h"
#include "membership/membership_types.h"
#include "quarantine/crash_watch.h"

namespace boost::asio {
class io_context;
}

namespace buckthornhill::gateway {
//! Tells the other instances of requests that crash upstreams. Notes of crashes go to a few registrars, which
//! count them; what is quarantined goes to all instances at once, and again with heartbeats to those that
//! missed it.
class crash_exchange
{
public:
    using member_source = std::function<std::vector<membership::member_description>()>;
    using done_hook = std::function<void()>;
    using permission_hook = std::function<void(bool is_granted)>;

    crash_exchange(boost::asio::io_context& context, const gateway_settings& settings,
                   quarantine::crash_watch& suspects, member_source live_members);
    ~crash_exchange();
    crash_exchange(const crash_exchange&) = delete;
    crash_exchange& operator=(const crash_exchange&) = delete;

    //! Sends notes to the registrars of each request. `on_done` is called when all have answered or failed
    //! to.
    void report(const std::vector<quarantine::crash_note>& notes, const done_hook& on_done);
    //! Asks the first registrar of a suspect whether it may run now.
    void ask_permission(time_point now, fingerprint request_fingerprint, const permission_hook& on_answer);
    //! A suspect that was permitted to run has ended without having run.
    void end_trial(fingerprint request_fingerprint);
    //! A suspect completed here.
    void clear(const quarantine::suspect_report& known);
    //! Tells all instances what has been quarantined here since the last call, and logs it.
    void announce_quarantines();

    //! Whether this instance is the first registrar of the request.
    bool is_responsible_for(fingerprint request_fingerprint) const;
    static bool is_crash_call(std::string_view target);
    void on_call(time_point now, const http::exchange_ptr& exchange);
    //! Applies what another instance knows; returns the requests that completed here since.
    std::vector<fingerprint> on_reports(time_point now,
                                        const std::vector<quarantine::suspect_report>& reports);

private:
    using response_hook = std::function<void(const crash_response*)>; //!< null when there is none

    std::vector<membership::member_description> registrars_of(fingerprint request_fingerprint) const;
    void send(const membership::member_description& receiver, const crash_message& message,
              std::chrono::milliseconds timeout, response_hook on_response);
    //! Asks the registrars from `first` on until one of them answers.
    void ask_registrars(std::vector<membership::member_description> registrars, std::size_t first,
                        const crash_message& message, const permission_hook& on_answer);
    void send_to_all(const crash_message& message, const response_hook& on_response);
    void apply_cleared(time_point now, const std::vector<fingerprint>& cleared);

    gateway_settings settings;
    quarantine::crash_watch& suspects;
    member_source live_members;
    std::unique_ptr<http::http_client> client;
};
} // namespace buckthornhill::gateway
