#pragma once

#include <chrono>
#include <set>
#include <vector>

#include "global/ids.h"
#include "global/strong_id.h"

//! Client accounts, the API keys that stand for them, and how recent the knowledge of both is.
namespace buckthornhill::accounts {
//! A secret: it must not appear in logs, metrics or requests to upstreams.
using api_key = strong_id<struct api_key_tag>;

//! Holds over all instances together; 0 means no limit.
struct account_limit
{
    double requests_per_second = 0;
    double burst = 0;
};

struct client_account
{
    account_id id;
    std::vector<api_key> keys; //!< each of them stands for the account
    int priority = 0;          //!< 0 is the most urgent
    account_limit limit;
    std::set<region_id> allowed_regions; //!< regions that may run the requests; empty when all may
};

struct freshness_configuration
{
    //! Requests with keys are served only while the configuration is confirmed.
    bool is_strict = false;
    //! Time after the acknowledgement of a revocation from which no request with the key may run.
    std::chrono::milliseconds bound{5000};
};
} // namespace buckthornhill::accounts
