#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "global/units.h"

namespace buckthornhill::store {
struct reconciliation_configuration
{
    //! How long an entry must be absent until its owner would surely have written it again.
    std::chrono::milliseconds absence_limit{4500};
    //! Longest time between two confirmations in which the owners were surely able to write. It covers the
    //! longest long poll with its pause.
    std::chrono::milliseconds max_confirmation_gap{4000};
};

//! Decides about the entries of one collection in which a store that was restored from an older copy differs
//! from the state known before. Entries that the copy lacks are kept until their owners would have written
//! them again; entries that the copy has although they were seen leaving are held back for as long, after
//! which the lease of an owner that no longer runs has expired. Only the time in which the store was
//! confirmed to respond counts. Without eras nothing is kept or held back.
class restore_reconciliation
{
public:
    //! What is no longer undecided.
    struct decision
    {
        std::vector<std::string> removed;  //!< kept entries that nobody wrote again
        std::vector<std::string> accepted; //!< entries held back that are still there

        bool empty() const { return this->removed.empty() && this->accepted.empty(); }
    };

    explicit restore_reconciliation(const reconciliation_configuration& configuration)
        : configuration(configuration)
    {
    }

    //! The first list of a new era was received. Replaces the undecided entries of the era before.
    void begin(time_point now, std::set<std::string> missing, std::set<std::string> reappeared);
    //! The store wrote or removed the entry in this era, which decides about it.
    void on_written(const std::string& name);
    //! The whole state of the store up to `now` is known.
    decision on_confirmed(time_point now);
    //! Contact was lost, so the time until the next confirmation does not count.
    void on_contact_lost() { this->is_confirmed = false; }

    const std::set<std::string>& kept() const { return this->missing; }
    const std::set<std::string>& held_back() const { return this->reappeared; }
    bool is_over() const { return this->missing.empty() && this->reappeared.empty(); }

private:
    reconciliation_configuration configuration;
    std::set<std::string> missing;
    std::set<std::string> reappeared;
    duration confirmed_time{};
    time_point confirmed_at{};
    bool is_confirmed = false;
};
} // namespace buckthornhill::store
