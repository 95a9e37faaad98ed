#include "gateway/crash_exchange.h"

#include <map>

#include <boost/asio/io_context.hpp>

#include "gateway/gateway_translation.h"
#include "global/error.h"
#include "global/log.h"
#include "http/body_coding.h"
#include "http/http_responses.h"
#include "quarantine/registrar_selection.h"

namespace buckthornhill::gateway {
using quarantine::crash_note;
using quarantine::suspect_report;

namespace {
constexpr std::string_view log_part = "quarantine";
constexpr std::string_view crashes_path = "/peer/crashes";
constexpr std::chrono::milliseconds message_timeout{700};
//! For one registrar; a request waits for the permission until two have been asked.
constexpr std::chrono::milliseconds permission_timeout{200};
constexpr unsigned status_ok = 200;

time_point clock_now()
{
    return std::chrono::steady_clock::now();
}

boost::json::array runs_of(const suspect_report& report)
{
    boost::json::array runs;
    for (const auto& run : report.runs) {
        runs.emplace_back(run.str());
    }
    return runs;
}

void log_quarantine(const suspect_report& report)
{
    log::event(log_part, "quarantined",
               {{"fingerprint", report.request_fingerprint.str()},
                {"ended", runs_of(report)},
                {"for_ms", to_milliseconds(report.quarantine_left)}});
}
} // namespace

crash_exchange::crash_exchange(boost::asio::io_context& context, const gateway_settings& initial_settings,
                               quarantine::crash_watch& known_suspects, member_source members)
    : settings(initial_settings)
    , suspects(known_suspects)
    , live_members(std::move(members))
    , client(std::make_unique<http::http_client>(context, peer_limits(initial_settings, message_timeout)))
{
}

crash_exchange::~crash_exchange() = default;

bool crash_exchange::is_crash_call(std::string_view target)
{
    return http::path_of(target) == crashes_path;
}

std::vector<membership::member_description>
crash_exchange::registrars_of(fingerprint request_fingerprint) const
{
    std::map<instance_id, membership::member_description> live;
    std::vector<quarantine::candidate_registrar> candidates;
    for (auto& member : this->live_members()) {
        candidates.push_back({member.id, {member.region, member.domain}});
        live.emplace(member.id, std::move(member));
    }
    std::vector<membership::member_description> chosen;
    for (const auto& id :
         quarantine::registrars_of(request_fingerprint, this->settings.where.domain, candidates)) {
        chosen.push_back(live.at(id));
    }
    return chosen;
}

void crash_exchange::send(const membership::member_description& receiver, const crash_message& message,
                          std::chrono::milliseconds timeout, response_hook on_response)
{
    http::http_request request;
    request.method = "POST";
    request.target = crashes_path;
    request.headers.emplace_back("Content-Type", "application/json");
    request.body = encode_crash_message(message);
    http::compress_body(request.headers, request.body);
    this->client->send(http::parse_endpoint(receiver.peer_address), std::move(request), clock_now() + timeout,
                       http::connection_choice::reuse,
                       [on_response = std::move(on_response)](const http::call_result& result) {
                           if (result.status != http::call_status::complete ||
                               result.response.status != status_ok) {
                               on_response(nullptr);
                               return;
                           }
                           try {
                               const auto response = decode_crash_response(http::decompressed_body(
                                   result.response.headers, result.response.body, max_peer_message_bytes));
                               on_response(&response);
                           } catch (const buckthornhill::error& failure) {
                               log::event(log_part, "response_unreadable", {{"reason", failure.what()}});
                               on_response(nullptr);
                           }
                       });
}

void crash_exchange::send_to_all(const crash_message& message, const response_hook& on_response)
{
    for (const auto& member : this->live_members()) {
        if (member.id != this->settings.id) {
            this->send(member, message, message_timeout, on_response);
        }
    }
}

void crash_exchange::report(const std::vector<crash_note>& notes, const done_hook& on_done)
{
    std::map<instance_id, std::pair<membership::member_description, crash_message>> messages;
    for (const auto& note : notes) {
        for (const auto& registrar : this->registrars_of(note.request_fingerprint)) {
            if (registrar.id != this->settings.id) {
                auto& [receiver, message] = messages[registrar.id];
                receiver = registrar;
                message.notes.push_back(note);
            }
        }
    }
    const auto pending = std::make_shared<std::size_t>(messages.size());
    if (messages.empty()) {
        on_done();
        return;
    }
    for (const auto& [id, message] : messages) {
        this->send(message.first, message.second, message_timeout,
                   [this, pending, on_done](const crash_response* response) {
                       if (response != nullptr) {
                           this->on_reports(clock_now(), response->reports);
                           this->apply_cleared(clock_now(), response->refuted);
                           this->announce_quarantines();
                       }
                       if (--*pending == 0) {
                           on_done();
                       }
                   });
    }
}

bool crash_exchange::is_responsible_for(fingerprint request_fingerprint) const
{
    const auto registrars = this->registrars_of(request_fingerprint);
    return registrars.empty() || registrars.front().id == this->settings.id;
}

void crash_exchange::ask_permission(time_point now, fingerprint request_fingerprint,
                                    const permission_hook& on_answer)
{
    if (this->is_responsible_for(request_fingerprint)) {
        on_answer(this->suspects.grant_permission(now, request_fingerprint));
        return;
    }
    const auto registrars = this->registrars_of(request_fingerprint);
    crash_message message;
    message.trial = request_fingerprint;
    if (auto known = this->suspects.report_of(now, request_fingerprint)) {
        message.reports.push_back(std::move(*known));
    }
    this->ask_registrars(registrars, 0, message, on_answer);
}

void crash_exchange::ask_registrars(std::vector<membership::member_description> registrars, std::size_t first,
                                    const crash_message& message, const permission_hook& on_answer)
{
    if (first >= registrars.size()) {
        on_answer(false);
        return;
    }
    const auto& asked = registrars[first];
    if (asked.id == this->settings.id) {
        on_answer(this->suspects.grant_permission(clock_now(), *message.trial));
        return;
    }
    this->send(asked, message, permission_timeout,
               [this, registrars, first, message, on_answer](const crash_response* response) {
                   if (response == nullptr) {
                       this->ask_registrars(registrars, first + 1, message, on_answer);
                       return;
                   }
                   this->apply_cleared(clock_now(), response->refuted);
                   on_answer(response->is_trial_granted);
               });
}

void crash_exchange::end_trial(fingerprint request_fingerprint)
{
    if (this->is_responsible_for(request_fingerprint)) {
        this->suspects.end_trial(request_fingerprint);
        return;
    }
    crash_message message;
    message.ended_trial = request_fingerprint;
    this->send(this->registrars_of(request_fingerprint).front(), message, message_timeout,
               [](const crash_response*) {});
}

void crash_exchange::clear(const suspect_report& known)
{
    log::event(log_part, "cleared",
               {{"fingerprint", known.request_fingerprint.str()},
                {"ended", runs_of(known)},
                {"reason", "it completed"}});
    crash_message message;
    message.cleared.push_back(known.request_fingerprint);
    //! NOTE Others learn of a suspect that has to run singly from the responses to their own notes.
    const bool is_known_to_others =
        known.quarantines > 0 || known.runs.size() >= this->settings.proxy.quarantine.crashes_to_run_singly;
    if (is_known_to_others) {
        this->send_to_all(message, [](const crash_response*) {});
        return;
    }
    for (const auto& registrar : this->registrars_of(known.request_fingerprint)) {
        if (registrar.id != this->settings.id) {
            this->send(registrar, message, message_timeout, [](const crash_response*) {});
        }
    }
}

void crash_exchange::apply_cleared(time_point now, const std::vector<fingerprint>& cleared)
{
    for (const auto& print : cleared) {
        if (this->suspects.on_cleared(now, print)) {
            log::event(log_part, "cleared",
                       {{"fingerprint", print.str()}, {"reason", "it completed at another instance"}});
        }
    }
}

void crash_exchange::announce_quarantines()
{
    for (const auto& report : this->suspects.take_new_quarantines()) {
        log_quarantine(report);
        crash_message message;
        message.reports.push_back(report);
        this->send_to_all(message, [this, report](const crash_response* response) {
            const bool is_refuted = response != nullptr && !response->refuted.empty();
            //! NOTE Only the first one that refutes it finds the request still known here.
            if (is_refuted && this->suspects.on_cleared(clock_now(), report.request_fingerprint)) {
                this->clear(report);
            }
        });
    }
}

std::vector<fingerprint> crash_exchange::on_reports(time_point now,
                                                    const std::vector<suspect_report>& reports)
{
    std::vector<fingerprint> refuted;
    for (const auto& report : reports) {
        const auto print = report.request_fingerprint;
        const bool was_quarantined = this->suspects.quarantine_left(now, print) > duration{};
        if (!this->suspects.on_report(now, report)) {
            refuted.push_back(print);
        } else if (!was_quarantined && report.quarantine_left > duration{}) {
            log_quarantine(report);
        }
    }
    return refuted;
}

void crash_exchange::on_call(time_point now, const http::exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    const auto message =
        decode_crash_message(http::decompressed_body(request.headers, request.body, max_peer_message_bytes));
    crash_response response;
    for (const auto& note : message.notes) {
        auto known = this->suspects.on_note(now, note);
        if (known) {
            response.reports.push_back(std::move(*known));
        } else {
            response.refuted.push_back(note.request_fingerprint);
        }
    }
    for (const auto& print : this->on_reports(now, message.reports)) {
        response.refuted.push_back(print);
    }
    this->apply_cleared(now, message.cleared);
    if (message.ended_trial) {
        this->suspects.end_trial(*message.ended_trial);
    }
    if (message.trial) {
        response.is_trial_granted = this->suspects.grant_permission(now, *message.trial);
    }
    exchange->respond(http::compressed_json_response(encode_crash_response(response)));
    this->announce_quarantines();
}
} // namespace buckthornhill::gateway
