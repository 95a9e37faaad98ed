#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

#include <boost/intrusive/list.hpp>

#include "admission/admission_types.h"

namespace buckthornhill::admission {
//! Requests of one service that wait at the owner, ordered by class and then by deadline, the earliest first.
//! Under overload, idempotent requests are served newest first, since the oldest are the most likely to miss
//! their deadline.
class waiting_queue
{
public:
    using accepts_hook = std::function<bool(const admission_request&)>;

    void set_capacity(std::size_t requests) { this->capacity = requests; }
    bool is_full() const { return this->waiting.size() >= this->capacity; }
    std::size_t size() const { return this->waiting.size(); }
    //! Number of waiting requests that would be served before a new one of this class.
    std::size_t ahead_of(request_class priority) const;

    void push(const admission_request& request);
    //! Removes and returns the next request that `accepts` returns true for.
    std::optional<admission_request> pop(const accepts_hook& accepts);
    //! Removes the last request of the lowest class below `priority`.
    std::optional<admission_request> evict_below(request_class priority);
    std::vector<admission_request> remove_expired(time_point now);
    bool remove(flow_id flow);

private:
    struct node : boost::intrusive::list_base_hook<>
    {
        admission_request request;
        std::uint64_t arrival = 0;
    };
    using node_list = boost::intrusive::list<node>;
    static constexpr std::size_t class_count = 3;

    std::optional<admission_request> extract(node& chosen);
    node_list& list_of(request_class priority) { return this->classes[static_cast<std::size_t>(priority)]; }
    node* newest_idempotent(node_list& list, const accepts_hook& accepts);

    std::unordered_map<flow_id, node> waiting;
    std::array<node_list, class_count> classes;
    std::size_t capacity = 0;
    std::uint64_t arrivals = 0;
};
} // namespace buckthornhill::admission
