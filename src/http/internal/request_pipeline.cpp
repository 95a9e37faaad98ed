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
    const bool fits = this->entries.size() < this->limits.max_requests &&
                      this->total_retained_bytes < this->limits.max_bytes;
    return !this->is_input_closed && (this->entries.empty() || fits);
}

void request_pipeline::add(received_request request)
{
    this->is_input_closed = this->is_input_closed || !request.keeps_alive;
    auto& added = this->entries.emplace_back();
    added.received = std::move(request);
    this->set_retained_bytes(added, added.received.request.target.size() +
                                        size_of(added.received.request.headers, added.received.request.body));
}

void request_pipeline::add_final_response(http_response response)
{
    auto& added = this->entries.emplace_back();
    added.is_started = true;
    added.received.keeps_alive = false;
    added.response = std::move(response);
    this->is_input_closed = true;
}

std::optional<request_pipeline::started_request> request_pipeline::start_next()
{
    const auto next = std::ranges::find_if(this->entries, [](const entry& one) { return !one.is_started; });
    if (next == this->entries.end()) {
        return std::nullopt;
    }
    const auto index = next - this->entries.begin();
    const bool all_may_run_concurrently = std::all_of(
        this->entries.begin(), next + 1, [](const entry& one) { return one.received.may_run_concurrently; });
    if (index > 0 && (!all_may_run_concurrently || this->total_retained_bytes >= this->limits.max_bytes)) {
        return std::nullopt;
    }
    next->is_started = true;
    this->set_retained_bytes(*next, 0);
    started_request started;
    started.ticket = this->front_ticket;
    started.ticket += request_ticket(static_cast<std::uint64_t>(index));
    started.request = std::move(next->received.request);
    started.received_at = next->received.received_at;
    return started;
}

const http_request* request_pipeline::first_unstarted() const
{
    const auto first = std::ranges::find_if(this->entries, [](const entry& one) { return !one.is_started; });
    return first == this->entries.end() ? nullptr : &first->received.request;
}

void request_pipeline::refuse_unstarted(http_response response)
{
    bool is_head = false;
    while (this->first_unstarted() != nullptr) {
        is_head = this->entries.back().received.is_head;
        this->set_retained_bytes(this->entries.back(), 0);
        this->entries.pop_back();
    }
    this->add_final_response(std::move(response));
    this->entries.back().received.is_head = is_head;
}

request_pipeline::entry* request_pipeline::find(request_ticket ticket)
{
    const auto index = ticket.value() - this->front_ticket.value();
    const bool is_known = ticket >= this->front_ticket && index < this->entries.size();
    return is_known ? &this->entries[index] : nullptr;
}

void request_pipeline::bind(request_ticket ticket, http_exchange* exchange)
{
    auto* found = this->find(ticket);
    if (found != nullptr && !found->response) {
        found->exchange = exchange;
    }
}

bool request_pipeline::set_response(request_ticket ticket, http_response response)
{
    auto* found = this->find(ticket);
    if (found == nullptr || !found->is_started || found->response) {
        return false;
    }
    found->exchange = nullptr;
    this->set_retained_bytes(*found, size_of(response.headers, response.body));
    found->response = std::move(response);
    return true;
}

std::optional<request_pipeline::outgoing> request_pipeline::take_response(bool is_closing)
{
    if (this->entries.empty() || !this->entries.front().response) {
        return std::nullopt;
    }
    outgoing next;
    next.response = std::move(*this->entries.front().response);
    next.has_no_body = this->entries.front().received.is_head;
    next.closes = !this->entries.front().received.keeps_alive || (is_closing && this->entries.size() == 1);
    this->drop_front();
    if (next.closes) {
        this->clear();
    }
    return next;
}

std::vector<http_exchange*> request_pipeline::pending_exchanges() const
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
        this->drop_front();
    }
    this->is_input_closed = true;
}

void request_pipeline::drop_front()
{
    this->set_retained_bytes(this->entries.front(), 0);
    this->entries.pop_front();
    ++this->front_ticket;
}

void request_pipeline::set_retained_bytes(entry& of, std::size_t bytes)
{
    this->total_retained_bytes = this->total_retained_bytes - of.retained_bytes + bytes;
    of.retained_bytes = bytes;
}
} // namespace buckthornhill::http
