#include "gateway/fleet_view.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "gateway/confirmation_source.h"
#include "gateway/peer_message_codec.h"
#include "global/error.h"
#include "global/grouped_event.h"
#include "global/log.h"

namespace buckthornhill::gateway {
using store::collection;

namespace {
constexpr const char* log_part = "view";
constexpr const char* unreadable_event = "upstream_entry_unreadable";
constexpr std::size_t max_logged_bytes = 400;       //!< of an object that cannot be decoded
constexpr std::size_t max_single_events = 8;        //!< larger updates are logged grouped by state
constexpr std::size_t max_upstreams_per_event = 64; //!< in one log line

const char* state_of(const std::optional<fleet::upstream_entry>& entry, bool may_have_lapsed)
{
    if (!entry) {
        return may_have_lapsed ? "lapsed" : "removed";
    }
    return entry->is_leaving ? "leaving" : "ready";
}

void log_by_state(const std::map<std::string, std::vector<std::string>>& by_state, object_version at)
{
    for (const auto& [state, ids] : by_state) {
        for (std::size_t begin = 0; begin < ids.size(); begin += max_upstreams_per_event) {
            const auto end = std::min(begin + max_upstreams_per_event, ids.size());
            boost::json::array batch(ids.begin() + static_cast<std::ptrdiff_t>(begin),
                                     ids.begin() + static_cast<std::ptrdiff_t>(end));
            log::event(log_part, "upstreams_changed",
                       {{"state", state}, {"upstreams", std::move(batch)}, {"store_version", at.value()}});
        }
    }
}
} // namespace

fleet_view::fleet_view(const gateway_dialect& platform_dialect, proxy::proxy_core& proxy_decisions,
                       const store::reconciliation_configuration& reconciliation)
    : dialect(platform_dialect)
    , core(proxy_decisions)
{
    for (const auto which : store::all_collections) {
        this->mirrors.emplace(which, store::collection_mirror(reconciliation));
    }
}

bool fleet_view::apply(time_point now, const store::collection_update& update, bool is_confirmed)
{
    auto& mirror = this->mirrors.at(update.which);
    const bool was_known = mirror.is_known();
    const auto previous_era = mirror.era();
    if (!mirror.apply(now, update)) {
        return false;
    }
    this->latest_era = std::max(this->latest_era, update.era);
    const bool is_new_era = was_known && update.era != previous_era;
    if (is_new_era) {
        this->log_restore(update, previous_era);
    }
    switch (update.which) {
    case collection::configuration:
        if (is_new_era) {
            this->newest_before_era.begin_era(this->core.routes().version(), is_confirmed);
            this->is_configuration_current = false;
        } else if (!was_known) {
            this->newest_before_era.begin(update.era != store::store_era());
        }
        this->apply_configuration(update);
        break;
    case collection::upstreams:
        this->apply_upstreams(now, update);
        break;
    case collection::evacuations:
        this->apply_evacuations();
        break;
    case collection::instances:
    case collection::quarantines:
        break;
    }
    return true;
}

void fleet_view::log_restore(const store::collection_update& update, store::store_era previous) const
{
    const auto& restored = this->mirrors.at(update.which).restored();
    log::event(log_part, "store_restored",
               {{"collection", store::to_string(update.which)},
                {"era", update.era.value()},
                {"previous_era", previous.value()},
                {"kept", restored.kept().size()},
                {"held_back", restored.held_back().size()}});
}

void fleet_view::on_confirmed(time_point now, collection which)
{
    auto& mirror = this->mirrors.at(which);
    const auto decision = mirror.on_confirmed(now);
    if (decision.empty()) {
        return;
    }
    log::event(log_part, "restore_reconciled",
               {{"collection", store::to_string(which)},
                {"era", mirror.era().value()},
                {"removed", decision.removed.size()},
                {"accepted", decision.accepted.size()}});
    if (which == collection::upstreams) {
        for (const auto& name : decision.removed) {
            this->core.upstreams().remove(now, upstream_id(name));
        }
        log::grouped_event unreadable(log_part, unreadable_event);
        for (const auto& name : decision.accepted) {
            if (const auto entry = this->decode_upstream(mirror.objects().at(name), unreadable)) {
                this->core.upstreams().upsert(now, *entry);
            }
        }
    } else if (which == collection::evacuations) {
        this->apply_evacuations();
    } else if (which == collection::configuration) {
        for (const auto& name : decision.accepted) {
            if (name == this->dialect.configuration_name) {
                this->apply_configuration_object(mirror.objects().at(name), false);
            }
        }
    }
}

bool fleet_view::put_in_force(const store::stored_object& object,
                              routing::routing_configuration configuration)
{
    const auto version = configuration.version;
    const auto routes = configuration.routes.size();
    if (!this->core.on_configuration(std::move(configuration))) {
        return false;
    }
    this->object_in_force = object;
    log::event(log_part, "configuration_in_force",
               {{"version", version.value()}, {"routes", routes}, {"store_version", object.version.value()}});
    return true;
}

void fleet_view::apply_configuration(const store::collection_update& update)
{
    //! NOTE Only the store's own changes show all versions.
    const bool shows_all_versions = !update.is_snapshot && update.asked_at.count() != 0;
    const auto& restored = this->mirrors.at(collection::configuration).restored();
    log::grouped_event ignored(log_part, "configuration_ignored");
    for (const auto& change : update.changes) {
        const auto& name = change.object.name;
        if (name != this->dialect.configuration_name) {
            ignored.add({{"name", name}});
        } else if (!change.is_removed && !restored.held_back().contains(name)) {
            this->apply_configuration_object(change.object, shows_all_versions);
        }
    }
}

void fleet_view::apply_configuration_object(const store::stored_object& object, bool shows_all_versions)
{
    const auto& mirror = this->mirrors.at(collection::configuration);
    const store::collection_version object_version{mirror.era(), object.version};
    const bool is_known = std::exchange(this->latest_configuration, object_version) == object_version;
    try {
        auto configuration = this->dialect.decode_configuration(object.text);
        const auto version = configuration.version;
        this->newest_before_era.on_store_version(version);
        this->put_in_force(object, std::move(configuration));
        this->is_configuration_current = version == this->core.routes().version();
    } catch (const buckthornhill::error& failure) {
        //! NOTE Before an invalid one that comes otherwise there may have been a valid one that was missed.
        this->is_configuration_current = this->is_configuration_current && (is_known || shows_all_versions);
        log::event(log_part, "configuration_rejected",
                   {{"store_version", object.version.value()}, {"reason", failure.what()}});
    }
}

bool fleet_view::has_current_configuration() const
{
    const auto& objects = this->mirrors.at(collection::configuration).objects();
    return this->is_configuration_current && objects.contains(this->dialect.configuration_name);
}

std::optional<fleet::upstream_entry> fleet_view::decode_upstream(const store::stored_object& object,
                                                                 log::grouped_event& unreadable) const
{
    try {
        return this->dialect.decode_upstream(object.name, object.text);
    } catch (const buckthornhill::error& failure) {
        unreadable.add({{"upstream", object.name},
                        {"reason", failure.what()},
                        {"object", object.text.substr(0, max_logged_bytes)}});
        return std::nullopt;
    }
}

void fleet_view::apply_upstreams(time_point now, const store::collection_update& update)
{
    auto& roster = this->core.upstreams();
    const auto& mirror = this->mirrors.at(collection::upstreams);
    log::grouped_event unreadable(log_part, unreadable_event);
    if (update.is_snapshot) {
        std::vector<fleet::upstream_entry> entries;
        for (const auto& [name, object] : mirror.objects()) {
            if (auto entry = this->decode_upstream(object, unreadable)) {
                entries.push_back(std::move(*entry));
            }
        }
        roster.replace_all(now, entries, update.lapse_deadline);
        log::event(log_part, "upstreams_listed",
                   {{"count", entries.size()}, {"store_version", update.version.value()}});
        return;
    }
    const bool is_bulk_update = update.changes.size() > max_single_events;
    std::map<std::string, std::vector<std::string>> by_state;
    for (const auto& change : update.changes) {
        if (mirror.restored().held_back().contains(change.object.name)) {
            continue;
        }
        const upstream_id id(change.object.name);
        const auto entry =
            change.is_removed ? std::nullopt : this->decode_upstream(change.object, unreadable);
        if (entry) {
            roster.upsert(now, *entry);
        } else {
            roster.remove(now, id, change.lapse_deadline);
        }
        const auto* state = state_of(entry, change.lapse_deadline && now < *change.lapse_deadline);
        if (is_bulk_update) {
            by_state[state].push_back(id.str());
            continue;
        }
        const auto used_for = change.lapse_deadline ? *change.lapse_deadline - now : duration{};
        log::event(log_part, "upstream_changed",
                   {{"upstream", id.str()},
                    {"state", state},
                    {"cold_left_ms", entry ? entry->cold_left.count() : 0},
                    {"used_for_ms", std::max<std::int64_t>(0, to_milliseconds(used_for))},
                    {"object_version", change.object.version.value()},
                    {"store_version", update.version.value()}});
    }
    log_by_state(by_state, update.version);
}

void fleet_view::apply_evacuations()
{
    std::set<domain_id> domains;
    for (const auto& [name, object] : this->mirrors.at(collection::evacuations).objects()) {
        domains.insert(domain_id(name));
    }
    this->core.upstreams().set_evacuated(domains);
}

bool fleet_view::is_complete() const
{
    return this->core.routes().has_configuration() && this->mirrors.at(collection::upstreams).is_known() &&
           this->mirrors.at(collection::evacuations).is_known();
}

std::map<collection, store::collection_version> fleet_view::changed_versions() const
{
    std::map<collection, store::collection_version> versions;
    for (const auto& [which, mirror] : this->mirrors) {
        if (mirror.is_known() && which != collection::instances) {
            versions[which] = mirror.last_change_version();
        }
    }
    return versions;
}

std::map<collection, store::collection_version> fleet_view::known_versions() const
{
    std::map<collection, store::collection_version> versions;
    for (const auto& [which, mirror] : this->mirrors) {
        if (mirror.is_known()) {
            versions[which] = mirror.version();
        }
    }
    return versions;
}

std::vector<membership::member_description> fleet_view::registered_instances() const
{
    std::vector<membership::member_description> members;
    log::grouped_event unreadable(log_part, "registration_unreadable");
    for (const auto& [name, object] : this->mirrors.at(collection::instances).objects()) {
        try {
            members.push_back(decode_registration(this->dialect.store.extract_body(object.text)));
        } catch (const buckthornhill::error& failure) {
            unreadable.add({{"name", name}, {"reason", failure.what()}});
        }
    }
    return members;
}
} // namespace buckthornhill::gateway
