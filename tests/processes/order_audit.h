#pragma once

#include <map>
#include <set>
#include <string>

#include "load_types.h"

namespace buckthornhill::testing {
//! Compares the outcomes that callers of non-idempotent requests got with what the upstreams ran.
class order_audit
{
public:
    void on_result(const load::operation& operation, const load::operation_result& result)
    {
        this->wrong_answers += result.is_wrong_answer ? 1 : 0;
        if (operation.method == "GET") {
            return;
        }
        ++this->outcome_counts[result.result];
        if (result.result == requests::outcome::not_executed) {
            this->not_executed.insert(operation.order_id);
        } else if (result.result == requests::outcome::done) {
            this->done.insert(operation.order_id);
        }
    }

    //! The orders for which a delivery guarantee was broken, each with a description of the violation.
    std::map<std::string, std::string> violations(const std::map<std::string, int>& runs,
                                                  const std::set<std::string>& idempotent) const
    {
        std::map<std::string, std::string> violations_by_order;
        for (const auto& [order, count] : runs) {
            if (count > 1 && !idempotent.contains(order)) {
                violations_by_order[order] = "ran " + std::to_string(count) + " times";
            }
            if (this->not_executed.contains(order)) {
                violations_by_order[order] = "ran, but its caller was told that it did not run";
            }
        }
        for (const auto& order : this->done) {
            if (!runs.contains(order)) {
                violations_by_order[order] = "never ran, but its caller was told that it was done";
            }
        }
        return violations_by_order;
    }

    std::map<requests::outcome, std::size_t> outcome_counts;
    std::set<std::string> not_executed;
    std::set<std::string> done;
    std::size_t wrong_answers = 0;
};
} // namespace buckthornhill::testing
