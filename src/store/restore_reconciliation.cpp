#include "store/restore_reconciliation.h"

#include <utility>

namespace buckthornhill::store {
void restore_reconciliation::begin(time_point now, std::set<std::string> missing_names,
                                   std::set<std::string> reappeared_names)
{
    this->missing = std::move(missing_names);
    this->reappeared = std::move(reappeared_names);
    this->confirmed_time = {};
    this->confirmed_at = now;
    this->is_confirmed = true;
}

void restore_reconciliation::on_written(const std::string& name)
{
    this->missing.erase(name);
    this->reappeared.erase(name);
}

restore_reconciliation::decision restore_reconciliation::on_confirmed(time_point now)
{
    const auto gap = now - this->confirmed_at;
    if (this->is_confirmed && gap <= this->configuration.max_confirmation_gap) {
        this->confirmed_time += gap;
    }
    this->confirmed_at = now;
    this->is_confirmed = true;
    if (this->is_over() || this->confirmed_time < this->configuration.absence_limit) {
        return {};
    }
    decision made{{this->missing.begin(), this->missing.end()},
                  {this->reappeared.begin(), this->reappeared.end()}};
    this->missing.clear();
    this->reappeared.clear();
    return made;
}
} // namespace buckthornhill::store
