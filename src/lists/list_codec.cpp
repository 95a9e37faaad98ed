#include "lists/list_codec.h"

#include <functional>
#include <set>
#include <tuple>

#include <boost/json.hpp>

#include "global/json_reader.h"
#include "http/http_types.h"
#include "lists/lists_errors.h"

namespace buckthornhill::lists {
namespace json = boost::json;

namespace {
constexpr std::size_t max_kept_edits = 64;
constexpr std::int64_t max_quota_slots = 1'000'000;
constexpr std::string_view operator_document_keys = "edits ";

template <typename Parse>
auto rethrow_as_lists_error(const Parse& parse)
{
    try {
        return parse();
    } catch (const json_error& failure) {
        throw lists_error(failure.what());
    }
}

std::string non_empty_text(const json_reader& reader, std::string_view key)
{
    auto text = reader.text(key);
    if (text.empty()) {
        throw lists_error(reader.path() + "." + std::string(key) + ": must not be empty");
    }
    return text;
}

template <typename Visit>
void for_each_element(const json_reader& reader, std::string_view key, const Visit& visit)
{
    const auto count = reader.array(key).size();
    for (std::size_t i = 0; i < count; ++i) {
        visit(reader.element(key, i));
    }
}

//! Like `for_each_element`, for elements of different writers: those that cannot be read are left out.
//! Returns why.
template <typename Visit>
std::vector<std::string> for_each_readable_element(const json_reader& reader, std::string_view key,
                                                   const Visit& visit)
{
    std::vector<std::string> reasons;
    const auto count = reader.array(key).size();
    for (std::size_t i = 0; i < count; ++i) {
        try {
            visit(reader.element(key, i));
        } catch (const error& failure) {
            reasons.emplace_back(failure.what());
        }
    }
    return reasons;
}

std::string address_text(const json_reader& reader, std::string_view key)
{
    return http::parse_endpoint(non_empty_text(reader, key)).str();
}

customer_entry parse_customer(const json_reader& reader, const std::set<plan_id>& plans)
{
    reader.allow_only("name plan");
    customer_entry customer{customer_id(non_empty_text(reader, "name")),
                            plan_id(non_empty_text(reader, "plan"))};
    if (!plans.contains(customer.plan)) {
        throw lists_error(reader.path() + ".plan: unknown plan '" + customer.plan.str() + "'");
    }
    return customer;
}

customer_call parse_call(const json_reader& reader, const std::set<customer_id>& customers)
{
    reader.allow_only("customer subject by at");
    customer_call call{customer_id(non_empty_text(reader, "customer")), non_empty_text(reader, "subject"),
                       non_empty_text(reader, "by")};
    if (!customers.contains(call.customer)) {
        throw lists_error(reader.path() + ".customer: unknown customer '" + call.customer.str() + "'");
    }
    return call;
}

plans_list read_plans(std::string_view body)
{
    const auto value = parse_json(body, "plans");
    const json_reader reader(value, "plans");
    reader.allow_only(std::string(operator_document_keys) + "plans customers calls");
    plans_list list;
    std::set<plan_id> plans;
    for (const auto& item : reader.array("plans")) {
        if (!item.is_string() || item.get_string().empty()) {
            throw lists_error("plans.plans[" + std::to_string(list.plans.size()) +
                              "]: expected a plan's name");
        }
        list.plans.emplace_back(std::string(item.get_string()));
        if (!plans.insert(list.plans.back()).second) {
            throw lists_error("plans.plans[" + std::to_string(list.plans.size() - 1) + "]: plan '" +
                              list.plans.back().str() + "' appears twice");
        }
    }
    std::set<customer_id> customers;
    for_each_element(reader, "customers", [&](const json_reader& element) {
        list.customers.push_back(parse_customer(element, plans));
        if (!customers.insert(list.customers.back().name).second) {
            throw lists_error(element.path() + ".name: customer '" + list.customers.back().name.str() +
                              "' appears twice");
        }
    });
    for_each_element(reader, "calls", [&](const json_reader& element) {
        list.calls.push_back(parse_call(element, customers));
    });
    return list;
}

quota_entry parse_quota(const json_reader& reader)
{
    reader.allow_only("plan region service slots");
    quota_entry quota;
    quota.plan = plan_id(non_empty_text(reader, "plan"));
    quota.region = region_id(non_empty_text(reader, "region"));
    quota.service = service_id(non_empty_text(reader, "service"));
    const auto slots = reader.integer("slots");
    if (slots < 0 || slots > max_quota_slots) {
        throw lists_error(reader.path() + ".slots: must be from 0 to " + std::to_string(max_quota_slots));
    }
    quota.slots = slot_count(slots);
    return quota;
}

quotas_list read_quotas(std::string_view body)
{
    const auto value = parse_json(body, "quotas");
    const json_reader reader(value, "quotas");
    reader.allow_only(std::string(operator_document_keys) + "quotas");
    quotas_list list;
    std::set<std::tuple<plan_id, region_id, service_id>> seen;
    for_each_element(reader, "quotas", [&](const json_reader& element) {
        auto quota = parse_quota(element);
        if (!seen.emplace(quota.plan, quota.region, quota.service).second) {
            throw lists_error(element.path() + ": a quota for this plan, region and service appears twice");
        }
        list.quotas.push_back(std::move(quota));
    });
    return list;
}

drain_target_kind parse_target_kind(std::string_view text, const std::string& place)
{
    if (text == "upstream") {
        return drain_target_kind::upstream;
    }
    if (text == "domain") {
        return drain_target_kind::domain;
    }
    if (text == "region") {
        return drain_target_kind::region;
    }
    throw lists_error(place + ".kind: expected upstream, domain or region");
}

drains_list read_drains(std::string_view body)
{
    const auto value = parse_json(body, "drains");
    const json_reader reader(value, "drains");
    reader.allow_only(std::string(operator_document_keys) + "drains");
    drains_list list;
    std::set<std::string> seen;
    for_each_element(reader, "drains", [&](const json_reader& element) {
        element.allow_only("id kind target");
        drain_mark mark{non_empty_text(element, "id"),
                        parse_target_kind(element.text("kind"), element.path()),
                        non_empty_text(element, "target")};
        if (!seen.insert(mark.id).second) {
            throw lists_error(element.path() + ".id: drain '" + mark.id + "' appears twice");
        }
        list.drains.push_back(std::move(mark));
    });
    return list;
}

membership::member_description parse_entry(const json_reader& reader)
{
    membership::member_description entry;
    entry.id = instance_id(non_empty_text(reader, "id"));
    entry.region = region_id(non_empty_text(reader, "region"));
    entry.domain = domain_id(non_empty_text(reader, "domain"));
    entry.peer_address = address_text(reader, "peer_address");
    entry.caller_address = address_text(reader, "caller_address");
    return entry;
}

ownership::upstream_description parse_upstream(const json_reader& reader)
{
    ownership::upstream_description upstream;
    upstream.id = upstream_id(non_empty_text(reader, "id"));
    upstream.service = service_id(non_empty_text(reader, "service"));
    upstream.region = region_id(non_empty_text(reader, "region"));
    upstream.domain = domain_id(non_empty_text(reader, "domain"));
    upstream.address = address_text(reader, "address");
    upstream.slots = slot_count(reader.integer("slots"));
    upstream.is_leaving = reader.text_or("state", "live") == "leaving";
    return upstream;
}

instances_list read_instances(std::string_view body)
{
    const auto value = parse_json(body, "instances");
    const json_reader reader(value, "instances");
    instances_list list;
    list.unreadable = for_each_readable_element(
        reader, "entries", [&](const json_reader& element) { list.entries.push_back(parse_entry(element)); });
    const auto odd_upstreams =
        for_each_readable_element(reader, "upstreams", [&](const json_reader& element) {
            list.upstreams.push_back(parse_upstream(element));
        });
    list.unreadable.insert(list.unreadable.end(), odd_upstreams.begin(), odd_upstreams.end());
    return list;
}

std::vector<edit_record> read_edits(std::string_view body)
{
    const auto value = parse_json(body, "document");
    const json_reader reader(value, "document");
    std::vector<edit_record> edits;
    for_each_element(reader, "edits", [&](const json_reader& element) {
        edits.push_back({element.text("id"), element.text("by")});
    });
    return edits;
}
} // namespace

std::string_view to_string(document_name name)
{
    switch (name) {
    case document_name::plans:
        return "plans";
    case document_name::quotas:
        return "quotas";
    case document_name::drains:
        return "drains";
    case document_name::instances:
        return "instances";
    }
    throw lists_error("invalid document name value");
}

document_name parse_document_name(std::string_view text)
{
    for (const auto name : all_documents) {
        if (to_string(name) == text) {
            return name;
        }
    }
    throw lists_error("'" + std::string(text) + "': expected plans, quotas, drains or instances");
}

std::string_view to_string(drain_target_kind kind)
{
    switch (kind) {
    case drain_target_kind::upstream:
        return "upstream";
    case drain_target_kind::domain:
        return "domain";
    case drain_target_kind::region:
        return "region";
    }
    throw lists_error("invalid drain target kind value");
}

plans_list parse_plans(std::string_view body)
{
    return rethrow_as_lists_error([&] { return read_plans(body); });
}

quotas_list parse_quotas(std::string_view body)
{
    return rethrow_as_lists_error([&] { return read_quotas(body); });
}

drains_list parse_drains(std::string_view body)
{
    return rethrow_as_lists_error([&] { return read_drains(body); });
}

instances_list parse_instances(std::string_view body)
{
    return rethrow_as_lists_error([&] { return read_instances(body); });
}

std::vector<edit_record> parse_edits(std::string_view body)
{
    return rethrow_as_lists_error([&] { return read_edits(body); });
}

std::string with_edit(std::string_view body, const edit_record& edit)
{
    return rethrow_as_lists_error([&] {
        auto value = parse_json(body, "document");
        const json_reader reader(value, "document");
        json::array edits = reader.array("edits");
        edits.push_back({{"id", edit.id}, {"by", edit.by}});
        while (edits.size() > max_kept_edits) {
            edits.erase(edits.begin());
        }
        value.as_object()["edits"] = std::move(edits);
        return json::serialize(value);
    });
}
} // namespace buckthornhill::lists
