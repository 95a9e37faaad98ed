#include "gateway/upstream_end_detector.h"

#include <vector>

#include "fleet/upstream_roster.h"
#include "http/connect_probe.h"

namespace buckthornhill::gateway {
namespace {
//! For which a new run at the address is looked for; registrations arrive within about two seconds.
constexpr std::chrono::seconds memory{5};
} // namespace

upstream_end_detector::upstream_end_detector(boost::asio::io_context& io, std::chrono::milliseconds timeout,
                                             result_hook hook)
    : context(io)
    , connect_timeout(timeout)
    , on_result(std::move(hook))
{
}

void upstream_end_detector::on_connection_lost(time_point now, const upstream_run& run,
                                               const http::endpoint& address)
{
    this->remove_old(now);
    auto& contact = this->contacts[run];
    contact.address = address;
    contact.lost_at = now;
    if (std::exchange(contact.is_probing, true)) {
        return;
    }
    http::probe_connect(this->context, address, this->connect_timeout,
                        [this, run](http::connect_result result) {
                            const auto found = this->contacts.find(run);
                            if (found == this->contacts.end()) {
                                return;
                            }
                            found->second.is_probing = false;
                            if (result == http::connect_result::refused) {
                                this->report_end(run, "connection refused");
                            } else {
                                this->on_result(run, false, {});
                            }
                        });
}

void upstream_end_detector::on_misdirected(const upstream_run& run)
{
    if (this->contacts.contains(run)) {
        this->report_end(run, "another upstream answered at its address");
    }
}

void upstream_end_detector::on_registrations_changed(time_point now, const fleet::upstream_roster& roster)
{
    this->remove_old(now);
    std::vector<upstream_run> ended;
    for (const auto& [run, contact] : this->contacts) {
        if (roster.has_other_run_at(contact.address.str(), run)) {
            ended.push_back(run);
        }
    }
    for (const auto& run : ended) {
        this->report_end(run, "another run registered at its address");
    }
}

void upstream_end_detector::report_end(const upstream_run& run, const std::string& evidence)
{
    this->contacts.erase(run);
    this->on_result(run, true, evidence);
}

void upstream_end_detector::remove_old(time_point now)
{
    std::erase_if(this->contacts, [now](const auto& item) {
        return !item.second.is_probing && now - item.second.lost_at > memory;
    });
}
} // namespace buckthornhill::gateway
