#pragma once

#include <functional>
#include <map>

#include "gateway/gateway_dialect.h"
#include "membership/membership_types.h"
#include "proxy/proxy_core.h"
#include "store/collection_mirror.h"

namespace buckthornhill::gateway {
//! This instance's view of the store, from the store or from peers, handed to the decisions as typed facts.
class fleet_view
{
public:
    fleet_view(const gateway_dialect& dialect, proxy::proxy_core& core);

    //! Returns whether the update was newer than what was known.
    bool apply(time_point now, const store::collection_update& update);
    //! Configuration and upstreams are known, so requests can be served.
    bool is_complete() const;
    const store::collection_mirror& mirror(store::collection which) const { return this->mirrors.at(which); }
    //! Versions that peers compare. The instances are not among them: heartbeats say more of those than the
    //! store.
    std::map<store::collection, object_version> changed_versions() const;
    //! Versions up to which the collections are known.
    std::map<store::collection, object_version> known_versions() const;
    std::vector<membership::member_description> registered_instances() const;

private:
    void apply_configuration();
    void apply_upstreams(time_point now, const store::collection_update& update);
    void apply_evacuations();
    std::optional<fleet::upstream_entry> decode_upstream(const store::stored_object& object) const;

    const gateway_dialect& dialect;
    proxy::proxy_core& core;
    std::map<store::collection, store::collection_mirror> mirrors;
};
} // namespace buckthornhill::gateway
