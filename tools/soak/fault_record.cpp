#include "fault_record.h"

#include <algorithm>

namespace buckthornhill::soak {
namespace {
using intervals = std::vector<std::pair<time_point, time_point>>;

bool overlaps_any(const intervals& all, time_point from, time_point until)
{
    return std::ranges::any_of(all,
                               [&](const auto& one) { return one.first <= until && one.second >= from; });
}

bool overlaps_any(const std::map<std::string, intervals>& by_name, const std::string& name, time_point from,
                  time_point until)
{
    const auto found = by_name.find(name);
    return found != by_name.end() && overlaps_any(found->second, from, until);
}
} // namespace

void fault_record::on_gateway_fault(time_point from, time_point until, const std::string& gateway)
{
    this->gateways[gateway].emplace_back(from, until);
}

void fault_record::on_path_fault(time_point from, time_point until, const std::string& upstream)
{
    this->paths[upstream].emplace_back(from, until);
}

void fault_record::on_cut(time_point from, time_point until, const std::string& upstream)
{
    this->cuts[upstream].emplace_back(from, until);
}

bool fault_record::is_in_touch(const std::string& gateway, time_point from, time_point until) const
{
    return this->is_gateway_sound(gateway, from, until) && this->is_store_sound(from, until);
}

bool fault_record::is_gateway_sound(const std::string& gateway, time_point from, time_point until) const
{
    return !this->has_gateway_fault(gateway, from - this->recovery, until);
}

bool fault_record::has_gateway_fault(const std::string& gateway, time_point from, time_point until) const
{
    return overlaps_any(this->gateways, gateway, from, until);
}

bool fault_record::is_path_sound(const std::string& upstream, time_point from, time_point until) const
{
    return !overlaps_any(this->paths, upstream, from - this->recovery, until);
}

bool fault_record::is_store_sound(time_point from, time_point until) const
{
    return !overlaps_any(this->store, from - this->recovery, until);
}

bool fault_record::was_cut(const std::string& upstream, time_point from, time_point until) const
{
    return overlaps_any(this->cuts, upstream, from, until);
}

bool fault_record::is_calm(time_point from, time_point until) const
{
    const auto is_quiet = [&](const auto& item) { return !overlaps_any(item.second, from, until); };
    return !overlaps_any(this->store, from, until) && std::ranges::all_of(this->gateways, is_quiet) &&
           std::ranges::all_of(this->paths, is_quiet) && std::ranges::all_of(this->cuts, is_quiet);
}
} // namespace buckthornhill::soak
