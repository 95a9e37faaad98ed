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
    http::endpoint operations_endpoint;
    http::endpoint store_endpoint;
    std::vector<http::endpoint> seed_peers;
    std::size_t max_descriptors = 1024;

    proxy::proxy_configuration proxy;
    store::collection_watcher_configuration watcher;
    //! One peer near and one far each round, with the records of all but a large fleet: news reaches nine
    //! instances in two rounds, and an end is seen before callers stop trusting a look-up's answer.
    membership::membership_configuration membership{.heartbeat_interval = std::chrono::milliseconds(1500),
                                                    .gone_timeout = std::chrono::milliseconds(4500),
                                                    .domain_targets = 1,
                                                    .random_targets = 1,
                                                    .max_gossip_records = 56};

    //! How long callers may use a look-up answer. Some use it three times as long, and a stopping instance
    //! serves all that time.
    std::chrono::milliseconds lookup_ttl{1500};
    std::chrono::milliseconds lookup_ttl_bound{5000}; //!< callers count no more
    std::chrono::milliseconds effective_lookup_ttl() const
    {
        return std::min(this->lookup_ttl, this->lookup_ttl_bound);
    }
    std::chrono::milliseconds stop_grace{6000}; //!< the process is killed so long after the signal
    std::chrono::milliseconds upstream_connect_timeout{300}; //!< several round trips between regions
    std::chrono::milliseconds unacknowledged_timeout{2000};
    //! An idle connection used within this time carries a request that may run once only.
    std::chrono::milliseconds proven_connection_age{1000};
    std::chrono::milliseconds upstream_idle_timeout{
        8000}; //!< below the idle timeout that upstreams usually have
};
} // namespace buckthornhill::gateway
