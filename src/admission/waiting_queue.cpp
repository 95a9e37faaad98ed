#include "admission/waiting_queue.h"

#include <algorithm>

namespace buckthornhill::admission {
std::size_t waiting_queue::ahead_of(request_class priority) const
{
    std::size_t ahead = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
        ahead += this->classes[i].size();
    }
    return ahead;
}

void waiting_queue::push(const admission_request& request)
{
    auto& added = this->waiting[request.flow];
    added.request = request;
    added.arrival = ++this->arrivals;
    auto& list = this->list_of(request.priority);
    auto position = list.end();
    while (position != list.begin() && std::prev(position)->request.deadline > request.deadline) {
        --position;
    }
    list.insert(position, added);
}

waiting_queue::node* waiting_queue::newest_idempotent(node_list& list, const accepts_hook& accepts)
{
    node* newest = nullptr;
    for (auto& candidate : list) {
        const bool is_newer = newest == nullptr || candidate.arrival > newest->arrival;
        if (candidate.request.is_idempotent && is_newer && accepts(candidate.request)) {
            newest = &candidate;
        }
    }
    return newest;
}

std::optional<admission_request> waiting_queue::extract(node& chosen)
{
    this->list_of(chosen.request.priority).erase(node_list::s_iterator_to(chosen));
    auto request = std::move(chosen.request);
    this->waiting.erase(request.flow);
    return request;
}

std::optional<admission_request> waiting_queue::pop(const accepts_hook& accepts)
{
    const bool is_overloaded = this->waiting.size() * 2 > this->capacity;
    for (auto& list : this->classes) {
        if (is_overloaded) {
            if (auto* newest = this->newest_idempotent(list, accepts)) {
                return this->extract(*newest);
            }
        }
        const auto first = std::find_if(list.begin(), list.end(),
                                        [&](const node& candidate) { return accepts(candidate.request); });
        if (first != list.end()) {
            return this->extract(*first);
        }
    }
    return std::nullopt;
}

std::optional<admission_request> waiting_queue::evict_below(request_class priority)
{
    for (auto list = this->classes.rbegin(); list != this->classes.rend(); ++list) {
        if (!list->empty()) {
            auto& last = list->back();
            return last.request.priority > priority ? this->extract(last) : std::nullopt;
        }
    }
    return std::nullopt;
}

std::vector<admission_request> waiting_queue::remove_expired(time_point now)
{
    std::vector<admission_request> expired;
    for (auto& list : this->classes) {
        while (!list.empty() && list.front().request.deadline <= now) {
            expired.push_back(*this->extract(list.front()));
        }
    }
    return expired;
}

bool waiting_queue::remove(flow_id flow)
{
    const auto found = this->waiting.find(flow);
    if (found == this->waiting.end()) {
        return false;
    }
    this->extract(found->second);
    return true;
}
} // namespace buckthornhill::admission
