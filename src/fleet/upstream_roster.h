#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fleet/fleet_types.h"

namespace buckthornhill::fleet {
//! Keeps the registered upstreams and lists the usable ones by service. An upstream is not usable when it is
//! leaving, when its failure domain is evacuated or when its address answered as another upstream.
class upstream_roster
{
public:
    struct known_upstream
    {
        upstream_entry entry;
        time_point cold_until{};
        bool is_misdirected = false; //!< its address answered as another upstream
        //! Set while the entry is missing and may merely have lapsed; without a registration by then it is
        //! removed.
        std::optional<time_point> lapse_deadline;
    };

    //! Replaces the whole list. A missing entry whose upstream may still run, since the store was
    //! unavailable, is used until `lapse_deadline`. One that is used so already keeps its own deadline.
    void replace_all(time_point now, const std::vector<upstream_entry>& entries,
                     std::optional<time_point> lapse_deadline = std::nullopt);
    void upsert(time_point now, const upstream_entry& entry);
    //! Without a deadline, or after it, the entry is unused at once.
    void remove(time_point now, const upstream_id& id,
                std::optional<time_point> lapse_deadline = std::nullopt);
    //! The store, or a relay in contact with it, has confirmed the list. A missing entry that may have lapsed
    //! is removed only when the list was confirmed at about the end of its time.
    void on_confirmed(time_point now) { this->confirmed_at = now; }
    //! Whether the list should be confirmed now, because an entry is to be removed soon. True once for each
    //! such time.
    bool takes_check(time_point now);
    //! Contact with the store was lost. What may have lapsed is used on, since no registration can arrive.
    void on_store_lost() { this->is_store_lost = true; }
    //! Contact is back. `lapse_deadline`: after an outage in which registrations may have lapsed, or could
    //! not be renewed. Those that are missing already get as much time.
    void on_store_contact(std::optional<time_point> lapse_deadline);
    void set_evacuated(const std::set<domain_id>& domains);
    //! The address of `id` answered as another upstream: `id` gets no requests until it registers a new run
    //! or address.
    void on_misdirected(const upstream_id& id);
    //! The current run of `id` said itself that it leaves: it gets no requests, whatever later news of this
    //! run say. Returns whether that is new.
    bool on_leaving(const upstream_id& id);
    void on_tick(time_point now);

    //! Upstreams of `service` that may receive requests now, ordered by id.
    const std::vector<upstream_id>& usable(const service_id& service) const;
    //! Null when `id` may not receive requests now.
    const known_upstream* find_usable(const upstream_id& id) const;
    bool is_cold(time_point now, const upstream_id& id) const;
    //! Whether a run that started after `run` is registered at `address`.
    bool has_other_run_at(const std::string& address, const upstream_run& run) const;
    //! Increases whenever `usable` changes for any service.
    std::uint64_t epoch() const { return this->view_epoch; }
    std::size_t size() const { return this->upstreams.size(); }

private:
    bool is_usable(const known_upstream& upstream) const;
    //! The service for which `id` may receive requests now; empty when it may receive none.
    service_id usable_service(const upstream_id& id) const;
    //! Updates `usable_by_service` for `id`, which was usable for `previous_service` before the change.
    void update_usable(const upstream_id& id, const service_id& previous_service);
    void apply_entry(time_point now, const upstream_entry& entry);
    void remember_departed(const upstream_entry& entry);
    void drop_entry(time_point now, const upstream_id& id, std::optional<time_point> lapse_deadline);
    void rebuild_usable();
    bool is_confirmed_for(time_point deadline) const;
    void update_next_lapse_deadline();

    std::map<upstream_id, known_upstream> upstreams;
    std::set<std::pair<upstream_id, std::uint64_t>> departed_runs; //!< runs that were seen leaving
    std::set<domain_id> evacuated_domains;
    std::map<service_id, std::vector<upstream_id>> usable_by_service;
    bool is_store_lost = false;
    time_point confirmed_at{};
    time_point checked_for{}; //!< deadline for which a confirmation was last asked for
    std::uint64_t view_epoch = 1;
    time_point next_lapse_deadline = time_point::max(); //!< the earliest `lapse_deadline`
};
} // namespace buckthornhill::fleet
