#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "gateway/witness_quality.h"
#include "global/ids.h"
#include "global/units.h"

namespace buckthornhill::gateway {
struct witness_search_configuration
{
    std::size_t round_size = 4;                  //!< instances that are asked at the same time
    std::chrono::milliseconds first_repeat{250}; //!< until the next round; doubles
    std::chrono::milliseconds longest_repeat{1000};
    //! Time without a witness after which none is assumed to be left: all instances that run have found the
    //! restored store, registered there again and can be asked. Twice as long while an instance that was
    //! asked is silent, because this instance may be cut off from it for the moment.
    std::chrono::milliseconds assumption_delay{3000};
    //! Time after such an assumption until this instance is a witness for others. A witness that can reach
    //! any instance has been heard by then.
    std::chrono::milliseconds probation{4500};
};

//! Decides which instances to ask for the newest configuration from before the store's current era, and when
//! what they said is enough. Answers the load of a release that starts all instances one after the other, or
//! at once: an instance asks a few at a time and usually stops after the first answer. Instances that have
//! themselves just started are no witnesses, so they cannot vouch for each other.
class witness_search
{
public:
    enum class verdict {
        pending,
        settled, //!< witnesses have answered
        assumed  //!< no witness is left
    };
    //! Of the question to one instance.
    enum class result {
        awaited,
        answered,
        refused, //!< nothing runs there
        silent
    };

    explicit witness_search(const witness_search_configuration& configuration)
        : configuration(configuration)
    {
    }

    //! `own` is the quality of this instance itself.
    void begin(time_point now, witness_quality own);
    //! Whether instances are to be asked. Ends with the search, or when no witness is assumed to be left.
    bool is_asking() const { return this->active && !this->assumed_at; }
    //! Instances to ask now. `candidates` are all that are known, those that run first.
    std::vector<instance_id> take_targets(time_point now, const std::vector<instance_id>& candidates);
    void on_result(const instance_id& asked, result received);
    //! An instance that was asked, or another one, has this quality as a witness for the current era.
    void on_witness(witness_quality quality);
    //! Other than `pending` at most twice in a search: `settled` at its end, perhaps after `assumed`.
    verdict decide(time_point now);
    std::size_t asked_count() const { return this->asked.size(); }
    duration elapsed(time_point now) const { return now - this->began_at; }

private:
    struct inquiry
    {
        result state = result::awaited;
        std::size_t round = 0;
    };

    bool has(result state) const;
    void add_targets(const std::vector<instance_id>& candidates, bool asked_before,
                     std::vector<instance_id>& targets);
    verdict end(verdict reached);

    witness_search_configuration configuration;
    std::map<instance_id, inquiry> asked;
    witness_quality best = witness_quality::none;
    time_point began_at{};
    time_point next_round_at{};
    std::chrono::milliseconds repeat{0};
    std::size_t round = 0;
    bool active = false;
    bool has_candidates = false;
    std::optional<time_point> assumed_at;
};
} // namespace buckthornhill::gateway
