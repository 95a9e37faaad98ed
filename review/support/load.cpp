#include "load.h"

namespace buckthornhill::review {
namespace {
constexpr std::size_t object_count = 240;
}

release_load::release_load(std::vector<address> targets, record& events)
    : gateways(std::move(targets))
    , log(events)
{
}

void release_load::start(std::size_t threads, milliseconds pace)
{
    this->senders =
        std::make_unique<paced_threads>(threads, pace, [this](std::size_t number) { this->send(number); });
}

std::string release_load::id_of(std::size_t number) const
{
    return "g" + std::to_string(number % this->gateways.size()) + "-release-" + std::to_string(number);
}

void release_load::send(std::size_t number)
{
    call sent_call;
    sent_call.method = "POST";
    sent_call.host = host_name;
    sent_call.target = path_prefix + std::to_string(number);
    sent_call.id = this->id_of(number);
    sent_call.object = std::to_string(number % object_count);
    sent_call.body = "canvas " + std::to_string(number);
    sent_call.time_left = milliseconds(2000);
    const auto outcome = send_call(this->gateways[number % this->gateways.size()], sent_call);
    ++this->sent;
    ++(outcome.is_success() ? this->served : outcome.is_refusal() ? this->refused : this->failed);
    this->log.write(sent_call.id + ": " + outcome.text());
}

release_load::counts release_load::totals() const
{
    return {this->sent, this->served, this->refused, this->failed};
}

void release_load::report() const
{
    const auto total = this->totals();
    this->log.report("requests that may run once: " + std::to_string(total.sent) + " sent, " +
                     std::to_string(total.served) + " served, " + std::to_string(total.refused) +
                     " refused, " + std::to_string(total.failed) + " failed or unanswered");
}
} // namespace buckthornhill::review
