#include "gateway/configuration_floor.h"

#include <algorithm>

namespace buckthornhill::gateway {
void configuration_floor::begin(bool has_eras)
{
    this->own_quality = has_eras ? witness_quality::none : witness_quality::settled;
}

void configuration_floor::begin_era(routing::configuration_version in_force, bool is_confirmed)
{
    this->own_quality = quality_in_later_era(this->own_quality, is_confirmed);
    this->is_assumed = false;
    this->floor = std::max(this->floor, in_force);
    this->store_version = {};
}

void configuration_floor::on_store_version(routing::configuration_version version)
{
    this->store_version = std::max(this->store_version, version);
}

bool configuration_floor::raise(routing::configuration_version version)
{
    const bool was_believed = this->is_store_believed();
    this->floor = std::max(this->floor, version);
    return was_believed && !this->is_store_believed();
}

witness_quality quality_in_later_era(witness_quality in_own_era, bool is_confirmed)
{
    switch (in_own_era) {
    case witness_quality::none:
        return witness_quality::none;
    case witness_quality::settled:
        return is_confirmed ? witness_quality::recent : witness_quality::lapsed;
    case witness_quality::lapsed:
    case witness_quality::recent:
        break;
    }
    return witness_quality::lapsed;
}
} // namespace buckthornhill::gateway
