#pragma once

#include <map>
#include <string>

#include "lists/lists_types.h"

namespace buckthornhill::lists {
enum class offer_result {
    accepted,
    already_known,
    stale,   //!< lower than the version in force; never applied
    rejected //!< does not parse; the version in force stays
};

//! The documents in force at one instance. A version is never applied over a higher one.
class list_state
{
public:
    //! Offers a version from the store or from a peer. `reason()` explains a rejection.
    offer_result offer(document_name name, object_version version, const std::string& body);

    const version_map& versions() const { return this->in_force; }
    object_version version_of(document_name name) const;
    const std::string& body_of(document_name name) const;
    //! Documents of which `others` has a higher version than this instance.
    std::vector<document_name> missing_from(const version_map& others) const;
    const std::string& reason() const { return this->rejection; }

    const plans_list& plans() const { return this->plans_in_force; }
    const quotas_list& quotas() const { return this->quotas_in_force; }
    const drains_list& drains() const { return this->drains_in_force; }
    const instances_list& instances() const { return this->instances_in_force; }

private:
    void apply(document_name name, const std::string& body);

    version_map in_force;
    std::map<document_name, std::string> bodies;
    plans_list plans_in_force;
    quotas_list quotas_in_force;
    drains_list drains_in_force;
    instances_list instances_in_force;
    std::string rejection;
};
} // namespace buckthornhill::lists
