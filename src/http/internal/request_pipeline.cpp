#include "http/internal/request_pipeline.h"

#include <algorithm>

namespace buckthornhill::http {
namespace {
std::size_t size_of(const header_list& headers, const std::string& body)
{
    std::size_t size = body.size();
    for (const auto& [name, value] : headers) {
        size += name.size() + value.size();
    }
    return size;
}
} // namespace

bool request_pipeline::has_room() const
{
    const bool fits = this->entries.size() < this->limits.max_requests && this->held < this->limits.max_bytes;
    return !this->takes_no_more && (this->entries.empty() || fits);
}

void request_pipeline::add(arrival request)
{
    this->takes_no_more = this->takes_no_more || !request.keeps_alive;
    auto& added = this->entries.emplace_back();
    added.received = std::move(request);
    this->set_held(added, added.received.request.target.size() +
                              size_of(added.received.request.headers, added.received.request.body));
}

void request_pipeline::add_last_answer(http_response response)
{
    auto& added = this->entries.emplace_back();
    added.is_started = true;
    added.received.keeps_alive = false;
    added.response = std::move(response);
    this->takes_no_more = true;
}

std::optional<request_pipeline::start> request_pipeline::take_start()
{
    const auto next = std::ranges::find_if(this->entries, [](const entry& one) { return !one.is_started; });
    if (next == this->entries.end()) {
        return std::nullopt;
    }
    const auto place = next - this->entries.begin();
    const bool others_overlap = std::all_of(this->entries.begin(), next + 1,
                                            [](const entry& one) { return one.received.may_overlap; });
    if (place > 0 && (!others_overlap || this->held >= this->limits.max_bytes)) {
        return std::nullopt;
    }
    next->is_started = true;
    this->set_held(*next, 0);
    start begun;
    begun.ticket = this->first;
    begun.ticket += request_ticket(static_cast<std::uint64_t>(place));
    begun.request = std::move(next->received.request);
    begun.received_at = next->received.received_at;
    return begun;
}

request_pipeline::entry* request_pipeline::find(request_ticket ticket)
{
    const auto place = ticket.value() - this->first.value();
    const bool is_known = ticket >= this->first && place < this->entries.size();
    return is_known ? &this->entries[place] : nullptr;
}

void request_pipeline::bind(request_ticket ticket, http_exchange* exchange)
{
    auto* found = this->find(ticket);
    if (found != nullptr && !found->response) {
        found->exchange = exchange;
    }
}

bool request_pipeline::answer(request_ticket ticket, http_response response)
{
    auto* found = this->find(ticket);
    if (found == nullptr || !found->is_started || found->response) {
        return false;
    }
    found->exchange = nullptr;
    this->set_held(*found, size_of(response.headers, response.body));
    found->response = std::move(response);
    return true;
}

std::optional<request_pipeline::outgoing> request_pipeline::take_answer(bool ends_soon)
{
    if (this->entries.empty() || !this->entries.front().response) {
        return std::nullopt;
    }
    const bool is_last_started = this->entries.size() == 1 || !this->entries[1].is_started;
    outgoing next;
    next.response = std::move(*this->entries.front().response);
    next.closes = !this->entries.front().received.keeps_alive || (ends_soon && is_last_started);
    this->drop_first();
    if (next.closes) {
        this->clear();
    }
    return next;
}

std::vector<http_exchange*> request_pipeline::unanswered() const
{
    std::vector<http_exchange*> waiting;
    for (const auto& one : this->entries) {
        if (one.exchange != nullptr) {
            waiting.push_back(one.exchange);
        }
    }
    return waiting;
}

void request_pipeline::clear()
{
    while (!this->entries.empty()) {
        this->drop_first();
    }
    this->takes_no_more = true;
}

void request_pipeline::drop_first()
{
    this->set_held(this->entries.front(), 0);
    this->entries.pop_front();
    ++this->first;
}

void request_pipeline::set_held(entry& of, std::size_t bytes)
{
    this->held = this->held - of.held_bytes + bytes;
    of.held_bytes = bytes;
}
} // namespace buckthornhill::http
