#pragma once

#include "gateway/witness_quality.h"
#include "routing/routing_types.h"

namespace buckthornhill::gateway {
//! The newest configuration that is known from before the store's current era. A store that was restored from
//! an older copy may lack it, and nothing that the store says shows that: the floor comes from instances that
//! ran before. The store's configuration is believed to be the newest only once the floor is settled and the
//! store has reached it. A store without eras loses nothing, so its floor is settled from the start.
class configuration_floor
{
public:
    //! This instance has received the configuration for the first time.
    void begin(bool has_eras);
    //! The configuration was listed for the first time in a later era than before. `in_force` is the version
    //! in force here, and `is_confirmed` says whether its confirmation was still valid.
    void begin_era(routing::configuration_version in_force, bool is_confirmed);
    //! The store has this version in its current era.
    void on_store_version(routing::configuration_version version);
    //! An instance knows this version from before the era. Returns whether the store's configuration was
    //! believed to be the newest and no longer is.
    bool raise(routing::configuration_version version);

    //! No witness was found within a reasonable time, so what is known here has to do. This instance is no
    //! witness for others yet.
    void assume() { this->is_assumed = true; }
    //! Witnesses have been heard.
    void settle() { this->own_quality = witness_quality::settled; }

    bool is_settled() const { return this->own_quality == witness_quality::settled; }
    //! Whether witnesses are still to be found.
    bool is_open() const { return !this->is_settled() && !this->is_assumed; }
    //! As a witness for others.
    witness_quality quality() const { return this->own_quality; }
    routing::configuration_version version() const { return this->floor; }
    //! Whether the store's configuration is at least as new as the floor, as far as that is known.
    bool is_reached() const { return this->store_version >= this->floor; }
    bool is_store_believed() const { return !this->is_open() && this->is_reached(); }

private:
    witness_quality own_quality = witness_quality::none;
    bool is_assumed = false;
    routing::configuration_version store_version; //!< the newest that the store had in its current era
    routing::configuration_version floor;
};

//! Quality of an instance as a witness for a later era than that in which it has the quality `in_own_era`.
witness_quality quality_in_later_era(witness_quality in_own_era, bool is_confirmed);
} // namespace buckthornhill::gateway
