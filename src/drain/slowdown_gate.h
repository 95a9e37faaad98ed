#pragma once

#include <set>
#include <vector>

#include "drain/drain_types.h"

namespace buckthornhill::drain {
//! Decides from the active lists alone which drain marks are in effect.
class slowdown_gate
{
public:
    //! Decides on each mark, in the order of the list. A released drain stays released until its mark is
    //! removed.
    void update(const lists::plans_list& plans, const lists::quotas_list& quotas,
                const lists::drains_list& drains, const lists::instances_list& instances);

    const std::vector<drain_decision>& decisions() const { return this->current_decisions; }
    bool is_drained(const ownership::upstream_description& upstream) const;

private:
    std::vector<drain_decision> current_decisions;
    std::set<std::string> released_ids;
};

bool covers(const lists::drain_mark& mark, const ownership::upstream_description& upstream);

//! Customers that get fewer slots under the new lists than under the old ones and were not called about it.
std::vector<pending_notification> notifications_for_lowered_quotas(const lists::plans_list& old_plans,
                                                                   const lists::quotas_list& old_quotas,
                                                                   const lists::plans_list& new_plans,
                                                                   const lists::quotas_list& new_quotas);

//! Describes quotas whose sum exceeds the slots that remain in a region when the service's largest failure
//! domain there is lost.
std::vector<std::string> overcommitted_quotas(const lists::plans_list& plans,
                                              const lists::quotas_list& quotas,
                                              const lists::instances_list& instances);
//! Describes quotas that name a plan, region or service that does not exist.
std::vector<std::string> unknown_names(const lists::plans_list& plans, const lists::quotas_list& quotas,
                                       const lists::instances_list& instances);
} // namespace buckthornhill::drain
