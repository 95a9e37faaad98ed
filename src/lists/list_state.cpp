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
        this->last_rejection = failure.what();
        return offer_result::rejected;
    }
    this->active_versions[name] = version;
    this->bodies[name] = body;
    return offer_result::accepted;
}

void list_state::apply(document_name name, const std::string& body)
{
    switch (name) {
    case document_name::plans:
        this->active_plans = parse_plans(body);
        return;
    case document_name::quotas:
        this->active_quotas = parse_quotas(body);
        return;
    case document_name::drains:
        this->active_drains = parse_drains(body);
        return;
    case document_name::instances:
        this->active_instances = parse_instances(body);
        return;
    }
}

object_version list_state::version_of(document_name name) const
{
    const auto found = this->active_versions.find(name);
    return found == this->active_versions.end() ? object_version{} : found->second;
}

const std::string& list_state::body_of(document_name name) const
{
    static const std::string none;
    const auto found = this->bodies.find(name);
    return found == this->bodies.end() ? none : found->second;
}

std::vector<document_name> list_state::documents_newer_in(const version_map& others) const
{
    std::vector<document_name> newer;
    for (const auto& [name, version] : others) {
        if (version > this->version_of(name)) {
            newer.push_back(name);
        }
    }
    return newer;
}
} // namespace buckthornhill::lists
