#pragma once

#include <string>
#include <vector>

#include "account_checker.h"
#include "arrival_checker.h"
#include "attempt_checker.h"
#include "body_checker.h"
#include "deployment.h"
#include "fault_record.h"
#include "guarantee_checker.h"
#include "retry_budget_checker.h"

namespace buckthornhill::soak {
//! What callers, upstreams and the operator observed in a run, and the checkers that judge it.
struct run_record
{
    explicit run_record(const deployment& description)
        : faults(description.stable_window)
        , guarantees({.drain = description.drain,
                      .configuration = description.config_apply,
                      .calm_before_stop = description.stable_window},
                     this->faults)
        , arrivals({.drain = description.drain, .crash_notice = description.stable_window}, this->faults)
        , attempts({}, this->faults)
        , retries({.ratio = description.retry_ratio, .burst = description.retry_burst})
        , accounts({.revoke = description.revoke, .notice = description.config_apply})
    {
    }

    fault_record faults;
    guarantee_checker guarantees;
    arrival_checker arrivals;
    attempt_checker attempts;
    retry_budget_checker retries;
    account_checker accounts;
    body_checker bodies;
};
} // namespace buckthornhill::soak
