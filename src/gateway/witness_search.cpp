#include "gateway/witness_search.h"

#include <algorithm>

namespace buckthornhill::gateway {
void witness_search::begin(time_point now, witness_quality own)
{
    *this = witness_search(this->configuration);
    this->active = true;
    this->best = own;
    this->began_at = now;
}

bool witness_search::has(result state) const
{
    return std::ranges::any_of(this->asked, [state](const auto& item) { return item.second.state == state; });
}

void witness_search::add_targets(const std::vector<instance_id>& candidates, bool asked_before,
                                 std::vector<instance_id>& targets)
{
    for (const auto& id : candidates) {
        const auto known = this->asked.find(id);
        const bool was_asked = known != this->asked.end();
        const bool is_awaited = was_asked && known->second.state == result::awaited;
        const bool is_of_this_round = was_asked && known->second.round == this->round;
        if (targets.size() < this->configuration.round_size && was_asked == asked_before && !is_awaited &&
            !is_of_this_round) {
            this->asked[id] = {result::awaited, this->round};
            targets.push_back(id);
        }
    }
}

std::vector<instance_id> witness_search::take_targets(time_point now,
                                                      const std::vector<instance_id>& candidates)
{
    std::vector<instance_id> targets;
    if (!this->is_asking()) {
        return targets;
    }
    this->has_candidates = this->has_candidates || !candidates.empty();
    const bool is_due = now >= this->next_round_at;
    //! NOTE The first addresses may all be out of date. The others need not wait for the next round then.
    const bool has_no_answer = !this->has(result::awaited) && !this->has(result::answered);
    if (!is_due && !has_no_answer) {
        return targets;
    }
    ++this->round;
    this->add_targets(candidates, false, targets);
    if (is_due) {
        this->add_targets(candidates, true, targets);
        this->repeat = std::clamp(this->repeat * 2, this->configuration.first_repeat,
                                  this->configuration.longest_repeat);
        this->next_round_at = now + this->repeat;
    }
    return targets;
}

void witness_search::on_result(const instance_id& id, result received)
{
    const auto found = this->asked.find(id);
    //! NOTE The result of a question of an earlier search says nothing about this one.
    if (found != this->asked.end() && found->second.state == result::awaited) {
        found->second.state = received;
    }
}

void witness_search::on_witness(witness_quality quality)
{
    this->best = std::max(this->best, quality);
}

witness_search::verdict witness_search::end(verdict reached)
{
    this->active = false;
    return reached;
}

witness_search::verdict witness_search::decide(time_point now)
{
    if (!this->active) {
        return verdict::pending;
    }
    if (this->best == witness_quality::settled) {
        return this->end(verdict::settled);
    }
    if (this->assumed_at) {
        const bool is_over = now - *this->assumed_at >= this->configuration.probation;
        return is_over || this->best != witness_quality::none ? this->end(verdict::settled)
                                                              : verdict::pending;
    }
    //! NOTE Witnesses of this moment may each know of changes that the others have missed, so all that were
    //! asked are heard first.
    const bool has_heard_all = !this->has(result::awaited) && (!this->asked.empty() || !this->has_candidates);
    const bool has_silent = this->has(result::silent);
    const bool is_enough =
        this->best == witness_quality::recent || (this->best == witness_quality::lapsed && !has_silent);
    if (has_heard_all && is_enough) {
        return this->end(verdict::settled);
    }
    const bool may_hear_more = has_silent || this->has(result::awaited);
    const auto delay = this->configuration.assumption_delay * (may_hear_more ? 2 : 1);
    if (this->elapsed(now) < delay) {
        return verdict::pending;
    }
    if (this->best != witness_quality::none) {
        return this->end(verdict::settled);
    }
    this->assumed_at = now;
    return verdict::assumed;
}
} // namespace buckthornhill::gateway
