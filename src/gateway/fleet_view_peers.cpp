//! What the view tells other instances, and what it takes from them.
#include <algorithm>
#include <utility>

#include "gateway/confirmation_source.h"
#include "gateway/fleet_view.h"
#include "gateway/peer_message_codec.h"
#include "global/log.h"

namespace buckthornhill::gateway {
using store::collection;

namespace {
constexpr const char* log_part = "view";
} // namespace

bool fleet_view::on_era(store::store_era latest)
{
    const bool is_later = latest > this->latest_era;
    this->latest_era = std::max(this->latest_era, latest);
    return is_later;
}

void fleet_view::describe(peer_heartbeat& heartbeat, bool is_confirmed) const
{
    heartbeat.changed_at = this->changed_versions();
    heartbeat.era = this->latest_era;
    if (this->latest_era != store::store_era()) {
        heartbeat.newest_configuration =
            std::max(this->core.routes().version(), this->newest_before_era.version());
        heartbeat.awaits_configuration = !this->newest_before_era.is_reached();
        heartbeat.witness = this->newest_before_era.quality();
        heartbeat.is_confirmed = is_confirmed;
    }
}

bool fleet_view::on_heartbeat(const peer_heartbeat& heartbeat)
{
    if (this->is_known_from_before(heartbeat)) {
        this->raise_floor(heartbeat.newest_configuration);
    }
    return this->on_era(heartbeat.era);
}

void fleet_view::raise_floor(routing::configuration_version version)
{
    if (this->newest_before_era.raise(version)) {
        log::event(log_part, "confirmations_contradicted", {{"version", version.value()}});
        this->core.freshness().invalidate();
    }
}

witness_quality fleet_view::quality_of(const peer_heartbeat& heartbeat) const
{
    const auto known = heartbeat.changed_at.find(collection::configuration);
    if (known == heartbeat.changed_at.end()) {
        return witness_quality::none;
    }
    const auto own_era = this->mirrors.at(collection::configuration).era();
    if (known->second.era == own_era) {
        return heartbeat.witness;
    }
    return known->second.era < own_era ? quality_in_later_era(heartbeat.witness, heartbeat.is_confirmed)
                                       : witness_quality::none;
}

bool fleet_view::is_known_from_before(const peer_heartbeat& heartbeat) const
{
    const auto known = heartbeat.changed_at.find(collection::configuration);
    const bool is_of_earlier_era = known != heartbeat.changed_at.end() &&
                                   known->second.era < this->mirrors.at(collection::configuration).era();
    //! NOTE A settled witness of this era may be ahead by a change that was made in it. Until this instance
    //! has found its witnesses, that change is not told apart.
    const bool is_awaited_witness =
        this->newest_before_era.is_open() && this->quality_of(heartbeat) != witness_quality::none;
    return heartbeat.awaits_configuration || is_of_earlier_era || is_awaited_witness;
}

bool fleet_view::lacks_configuration_of(const peer_heartbeat& heartbeat) const
{
    return this->is_known_from_before(heartbeat) &&
           heartbeat.newest_configuration > this->core.routes().version();
}

store::collection_update fleet_view::configuration_in_force() const
{
    store::collection_update update;
    update.is_snapshot = true;
    if (!this->object_in_force.name.empty()) {
        update.changes.push_back({this->object_in_force, false});
    }
    return update;
}

void fleet_view::take_configuration(const store::collection_update& from_peer)
{
    for (const auto& change : from_peer.changes) {
        auto configuration = this->dialect.decode_configuration(change.object.text);
        this->raise_floor(configuration.version);
        if (this->put_in_force(change.object, std::move(configuration))) {
            this->is_configuration_current = false;
        }
    }
}

bool fleet_view::is_confirmed_by(const store::collection_update& update) const
{
    const bool is_from_store = update.asked_at != std::chrono::nanoseconds{};
    return is_from_store && update.era == this->latest_era && this->has_current_configuration() &&
           this->newest_before_era.is_store_believed();
}

bool fleet_view::is_confirmed_by(const peer_confirmation& confirmation) const
{
    return confirmation_source::is_valid(confirmation, this->core.routes().version()) &&
           this->newest_before_era.is_store_believed();
}

std::optional<peer_confirmation> fleet_view::own_confirmation(std::chrono::nanoseconds since_boot) const
{
    const auto age = this->core.freshness().age(since_boot);
    if (!age || !this->newest_before_era.is_store_believed()) {
        return std::nullopt;
    }
    return peer_confirmation{this->core.routes().version(), *age};
}
} // namespace buckthornhill::gateway
