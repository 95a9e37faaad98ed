#include "lists/list_state.h"

#include "lists/list_codec.h"
#include "lists/lists_errors.h"

namespace buckthornhill::lists {
offer_result list_state::offer(document_name name, object_version version, const std::string& body)
{
    const auto current = this->version_of(name);
    if (version == current) {
        return offer_result::already_known;
    }
    if (version < current) {
        return offer_result::stale;
    }
    try {
        this->apply(name, body);
    } catch (const lists_error& failure) {
        this->rejection = failure.what();
        return offer_result::rejected;
    }
    this->in_force[name] = version;
    this->bodies[name] = body;
    return offer_result::accepted;
}

void list_state::apply(document_name name, const std::string& body)
{
    switch (name) {
    case document_name::plans:
        this->plans_in_force = parse_plans(body);
        return;
    case document_name::quotas:
        this->quotas_in_force = parse_quotas(body);
        return;
    case document_name::drains:
        this->drains_in_force = parse_drains(body);
        return;
    case document_name::instances:
        this->instances_in_force = parse_instances(body);
        return;
    }
}

object_version list_state::version_of(document_name name) const
{
    const auto found = this->in_force.find(name);
    return found == this->in_force.end() ? object_version{} : found->second;
}

const std::string& list_state::body_of(document_name name) const
{
    static const std::string none;
    const auto found = this->bodies.find(name);
    return found == this->bodies.end() ? none : found->second;
}

std::vector<document_name> list_state::missing_from(const version_map& others) const
{
    std::vector<document_name> missing;
    for (const auto& [name, version] : others) {
        if (version > this->version_of(name)) {
            missing.push_back(name);
        }
    }
    return missing;
}
} // namespace buckthornhill::lists
