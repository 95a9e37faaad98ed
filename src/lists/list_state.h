#pragma once

#include <map>
#include <string>

#include "lists/lists_types.h"

namespace buckthornhill::lists {
enum class offer_result {
    accepted,
    already_known,
    stale,   //!< lower than the active version; never applied
    rejected //!< cannot be parsed; the active version stays
};

//! The active documents of one instance. A version never replaces a higher one.
class list_state
{
public:
    //! Offers a version from the store or from a peer. After a rejection `rejection_reason()` tells
    //! why.
    offer_result offer(document_name name, object_version version, const std::string& body);

    const version_map& versions() const { return this->active_versions; }
    object_version version_of(document_name name) const;
    const std::string& body_of(document_name name) const;
    //! Documents of which `others` has a higher version than this instance.
    std::vector<document_name> documents_newer_in(const version_map& others) const;
    const std::string& rejection_reason() const { return this->last_rejection; }

    const plans_list& plans() const { return this->active_plans; }
    const quotas_list& quotas() const { return this->active_quotas; }
    const drains_list& drains() const { return this->active_drains; }
    const instances_list& instances() const { return this->active_instances; }

private:
    void apply(document_name name, const std::string& body);

    version_map active_versions;
    std::map<document_name, std::string> bodies;
    plans_list active_plans;
    quotas_list active_quotas;
    drains_list active_drains;
    instances_list active_instances;
    std::string last_rejection;
};
} // namespace buckthornhill::lists
