#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "global/units.h"

namespace buckthornhill::soak {
//! Which faults were present when, and what they excuse by the user documentation: a gateway's bounds hold
//! while it is in touch, that is, without a fault of its own and of the store for some time. Uses no clock.
class fault_record
{
public:
    explicit fault_record(std::chrono::milliseconds recovery_time = std::chrono::milliseconds(3000))
        : recovery(recovery_time)
    {
    }

    //! The store was at fault, which excuses all gateways.
    void on_store_fault(time_point from, time_point until) { this->store.emplace_back(from, until); }
    //! This gateway was stopped, frozen or cut off from the store, which excuses it alone.
    void on_gateway_fault(time_point from, time_point until, const std::string& gateway);
    //! The path to this upstream was at fault, which excuses late arrivals there.
    void on_path_fault(time_point from, time_point until, const std::string& upstream);
    //! The upstream ended or was cut off. Responses lost on the way and late ones are no cut.
    void on_cut(time_point from, time_point until, const std::string& upstream);

    //! Neither the store nor this gateway was at fault from the recovery time before `from` until `until`.
    bool is_in_touch(const std::string& gateway, time_point from, time_point until) const;
    //! The same without the store, for bounds that its faults do not excuse.
    bool is_gateway_sound(const std::string& gateway, time_point from, time_point until) const;
    //! The gateway itself was at fault between these times.
    bool has_gateway_fault(const std::string& gateway, time_point from, time_point until) const;
    bool is_path_sound(const std::string& upstream, time_point from, time_point until) const;
    bool is_store_sound(time_point from, time_point until) const;
    bool was_cut(const std::string& upstream, time_point from, time_point until) const;
    //! Nothing at all was at fault between these times.
    bool is_calm(time_point from, time_point until) const;

private:
    using intervals = std::vector<std::pair<time_point, time_point>>;
    using intervals_by_name = std::map<std::string, intervals>;

    std::chrono::milliseconds recovery;
    intervals store;
    intervals_by_name gateways;
    intervals_by_name paths;
    intervals_by_name cuts;
};
} // namespace buckthornhill::soak
