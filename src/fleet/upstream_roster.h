#pragma once

#include <map>
#include <set>
#include <vector>

#include "fleet/fleet_types.h"

namespace buckthornhill::fleet {
struct roster_configuration
{
    //! Registrations that lapsed during a store outage are renewed within about two seconds of its end.
    std::chrono::milliseconds lapse_grace{1900};
};

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
        time_point
            lapse_deadline{}; //!< set while `may_have_lapsed`; without a registration by then it is removed
        bool may_have_lapsed = false; //!< missing after a store outage, perhaps only until it is renewed
    };

    explicit upstream_roster(const roster_configuration& configuration)
        : configuration(configuration)
    {
    }

    //! Replaces the whole list. `after_outage`: the store was unavailable, so a missing entry may have lapsed
    //! while its upstream still runs.
    void replace_all(time_point now, const std::vector<upstream_entry>& entries, bool after_outage);
    void upsert(time_point now, const upstream_entry& entry);
    void remove(time_point now, const upstream_id& id, bool after_outage);
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
    void drop_entry(time_point now, const upstream_id& id, bool after_outage);
    void rebuild_usable();

    roster_configuration configuration;
    std::map<upstream_id, known_upstream> upstreams;
    std::set<std::pair<upstream_id, std::uint64_t>> departed_runs; //!< runs that were seen leaving
    std::set<domain_id> evacuated_domains;
    std::map<service_id, std::vector<upstream_id>> usable_by_service;
    std::uint64_t view_epoch = 1;
    time_point next_lapse_deadline = time_point::max(); //!< the earliest `lapse_deadline`
};
} // namespace buckthornhill::fleet
