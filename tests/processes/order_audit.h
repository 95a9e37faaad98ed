#pragma once

#include <map>
#include <set>
#include <string>

#include "load_types.h"

namespace buckthornhill::testing {
//! Compares what callers of non-idempotent requests were told with what the upstreams ran.
class order_audit
{
public:
    void on_result(const load::operation& what, const load::operation_result& result)
    {
        this->wrong_answers += result.is_wrong_answer ? 1 : 0;
        if (what.method == "GET") {
            return;
        }
        ++this->told[result.result];
        if (result.result == requests::outcome::not_executed) {
            this->not_executed.insert(what.order_id);
        } else if (result.result == requests::outcome::done) {
            this->done.insert(what.order_id);
        }
    }

    //! Names of orders that broke a promise, with the promise.
    std::map<std::string, std::string> faults(const std::map<std::string, int>& runs,
                                              const std::set<std::string>& idempotent) const
    {
        std::map<std::string, std::string> found;
        for (const auto& [order, count] : runs) {
            if (count > 1 && !idempotent.contains(order)) {
                found[order] = "ran " + std::to_string(count) + " times";
            }
            if (this->not_executed.contains(order)) {
                found[order] = "ran, and its caller was told that it was not run";
            }
        }
        for (const auto& order : this->done) {
            if (!runs.contains(order)) {
                found[order] = "never ran, and its caller was told that it is done";
            }
        }
        return found;
    }

    std::map<requests::outcome, std::size_t> told;
    std::set<std::string> not_executed;
    std::set<std::string> done;
    std::size_t wrong_answers = 0;
};
} // namespace buckthornhill::testing
