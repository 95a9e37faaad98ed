#pragma once

#include <map>
#include <string>
#include <vector>

#include "global/ids.h"
#include "membership/membership_types.h"
#include "ownership/ownership_types.h"

//! Typed documents: the operators' lists, including drain marks, and the platform's list of instances.
namespace buckthornhill::lists {
enum class document_name { plans, quotas, drains, instances };

inline constexpr document_name all_documents[] = {document_name::plans, document_name::quotas,
                                                  document_name::drains, document_name::instances};

struct customer_entry
{
    customer_id name;
    plan_id plan;
};

//! Records that an operator called a customer before a planned slowdown.
struct customer_call
{
    customer_id customer;
    std::string subject; //!< the announced action, for example `drain:d1`
    std::string by;      //!< the operator
};

struct plans_list
{
    std::vector<plan_id> plans;
    std::vector<customer_entry> customers;
    std::vector<customer_call> calls;
};

//! Slots of a service that each customer of a plan may use at the same time in a region.
struct quota_entry
{
    plan_id plan;
    region_id region;
    service_id service;
    slot_count slots;
};

struct quotas_list
{
    std::vector<quota_entry> quotas;
};

enum class drain_target_kind { upstream, domain, region };

struct drain_mark
{
    std::string id;
    drain_target_kind kind = drain_target_kind::upstream;
    std::string target;
};

struct drains_list
{
    std::vector<drain_mark> drains;
};

struct instances_list
{
    std::vector<membership::member_description> entries;
    std::vector<ownership::upstream_description> upstreams;
    std::vector<std::string> unreadable; //!< why elements of the list were left out
};

//! One of a document's last edits, which are kept in the document with the newest last. They show whether an
//! edit whose response was lost took effect.
struct edit_record
{
    std::string id;
    std::string by;
};

using version_map = std::map<document_name, object_version>;
} // namespace buckthornhill::lists
