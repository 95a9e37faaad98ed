#pragma once

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "global/ids.h"
#include "global/place.h"
#include "http/http_types.h"
#include "membership/membership_types.h"
#include "proxy/proxy_types.h"
#include "store/collection_watcher.h"

namespace buckthornhill::gateway {
struct gateway_settings
{
    instance_id id;
    place where;
    http::endpoint caller_endpoint;
    http::endpoint readiness_endpoint;
    http::endpoint lookup_endpoint;
    http::endpoint peer_endpoint;
    http::endpoint advertised_peer_endpoint; //!< where other instances reach `peer_endpoint`
    http::endpoint operations_endpoint;
    http::endpoint store_endpoint;
    std::vector<http::endpoint> seed_peers;
    std::size_t max_descriptors = 1024;
    std::size_t max_memory_bytes = 0; //!< of the process; 0: bodies are not bounded together
    //! Whether one instance of each region plans which upstream handles which object.
    bool has_object_plan = false;

    proxy::proxy_configuration proxy;
    rate_limits::limit_bounds limits; //!< of accounts, over all instances
    store::collection_watcher_configuration watcher;
    //! Each round sends to one peer inside the failure domain and one outside, and one heartbeat has room for
    //! all members of all but large fleets. A change reaches nine instances in two rounds, and a failed
    //! instance is detected before look-up responses that name it expire.
    membership::membership_configuration membership{.heartbeat_interval = std::chrono::milliseconds(1500),
                                                    .gone_timeout = std::chrono::milliseconds(4500),
                                                    .domain_targets = 1,
                                                    .random_targets = 1,
                                                    .max_gossip_records = 56};

    //! How long callers may cache a look-up response. Some cache it three times as long, and a stopping
    //! instance keeps serving for that time.
    std::chrono::milliseconds lookup_ttl{1500};
    std::chrono::milliseconds lookup_ttl_bound{5000}; //!< callers cap the TTL at this value
    std::chrono::milliseconds effective_lookup_ttl() const
    {
        return std::min(this->lookup_ttl, this->lookup_ttl_bound);
    }
    std::chrono::milliseconds stop_grace{6000}; //!< from the stop signal until the process is killed
    std::chrono::milliseconds upstream_connect_timeout{300}; //!< several round trips between regions
    std::chrono::milliseconds unacknowledged_timeout{2000};
    //! A request that may run only once is sent on an idle connection that was last used within this time.
    std::chrono::milliseconds proven_connection_age{1000};
    std::chrono::milliseconds upstream_idle_timeout{8000}; //!< below the usual idle timeout of upstreams
};
} // namespace buckthornhill::gateway
