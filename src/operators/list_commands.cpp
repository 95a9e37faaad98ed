#include "operators/list_commands.h"

#include <thread>

#include <boost/json.hpp>

#include "drain/slowdown_gate.h"
#include "global/json_reader.h"
#include "lists/list_codec.h"
#include "operators/fleet_access.h"
#include "operators/operators_errors.h"

namespace buckthornhill::operators {
namespace json = boost::json;
using lists::document_name;

namespace {
constexpr std::chrono::milliseconds wait_poll_interval{100};

std::string describe_notifications(const std::vector<drain::pending_notification>& due_notifications)
{
    std::string text;
    for (const auto& notification : due_notifications) {
        text += "\n  " + notification.customer.str() + " about " + notification.subject + " (" +
                notification.region.str() + ", " + notification.service.str() + ": " +
                std::to_string(notification.promised_slots.value()) + " slots promised, " +
                std::to_string(notification.available_slots.value()) + " left)";
    }
    return text;
}

//! Returns the file's content with the edit history of the stored document, so that an edit keeps that
//! history.
std::string with_stored_edits(const std::string& body, const std::string& stored)
{
    auto value = parse_json(body, "file");
    const auto stored_value = parse_json(stored, "stored document");
    if (!value.is_object()) {
        throw operators_error(exit_status::refused, "file: expected an object");
    }
    const auto* edits = stored_value.as_object().if_contains("edits");
    if (edits != nullptr) {
        value.as_object()["edits"] = *edits;
    } else {
        value.as_object().erase("edits");
    }
    return json::serialize(value);
}

void validate_document(document_name name, const std::string& body)
{
    switch (name) {
    case document_name::plans:
        lists::parse_plans(body);
        return;
    case document_name::quotas:
        lists::parse_quotas(body);
        return;
    case document_name::drains:
        lists::parse_drains(body);
        return;
    case document_name::instances:
        throw operators_error(exit_status::usage,
                              "the list of instances is written by the platform and cannot be edited");
    }
}

[[noreturn]] void throw_refused(const std::vector<std::string>& faults)
{
    std::string text = "the list is rejected:";
    for (const auto& fault : faults) {
        text += "\n  " + fault;
    }
    throw operators_error(exit_status::refused, text);
}
} // namespace

list_commands::list_commands(const operators_configuration& settings, const store_access& access)
    : configuration(settings)
    , store(access)
{
}

void list_commands::require_operator() const
{
    if (this->configuration.operator_name.empty()) {
        throw operators_error(exit_status::usage,
                              "--by: must name the operator, because every edit is recorded with a name");
    }
}

std::string list_commands::get(document_name name) const
{
    const auto document = this->store.read(name);
    if (this->configuration.is_json) {
        return document.body + "\n";
    }
    return "version " + std::to_string(document.version.value()) + "\n" + document.body + "\n";
}

std::string list_commands::history(document_name name) const
{
    const auto document = this->store.read(name);
    std::string text = "version " + std::to_string(document.version.value()) + "\n";
    for (const auto& edit : lists::parse_edits(document.body)) {
        text += edit.id + "  " + edit.by + "\n";
    }
    return text;
}

std::string list_commands::forecast_edit(document_name name, const std::string& body) const
{
    try {
        validate_document(name, body);
    } catch (const operators_error&) {
        throw;
    } catch (const error& failure) {
        throw_refused({failure.what()});
    }
    const auto old_plans = lists::parse_plans(this->store.read(document_name::plans).body);
    const auto old_quotas = lists::parse_quotas(this->store.read(document_name::quotas).body);
    const auto instances = lists::parse_instances(this->store.read(document_name::instances).body);
    const auto plans = name == document_name::plans ? lists::parse_plans(body) : old_plans;
    const auto quotas = name == document_name::quotas ? lists::parse_quotas(body) : old_quotas;
    auto faults = drain::unknown_names(plans, quotas, instances);
    const auto overcommitted = drain::overcommitted_quotas(plans, quotas, instances);
    faults.insert(faults.end(), overcommitted.begin(), overcommitted.end());
    if (!faults.empty()) {
        throw_refused(faults);
    }
    const auto due_notifications =
        drain::notifications_for_lowered_quotas(old_plans, old_quotas, plans, quotas);
    if (!due_notifications.empty()) {
        throw operators_error(
            exit_status::refused,
            "these customers have to be called first (then: calls record CUSTOMER SUBJECT):" +
                describe_notifications(due_notifications));
    }
    return "The list is valid; no customer has to be called.\n";
}

std::string list_commands::check(document_name name, const std::string& body) const
{
    return this->forecast_edit(name, body);
}

stored_document list_commands::read_base(document_name name) const
{
    auto base = this->store.read(name);
    const auto expected = object_version(this->configuration.expected_version);
    if (this->configuration.has_expected_version && base.version != expected) {
        throw operators_error(exit_status::conflict, "version " + std::to_string(expected.value()) +
                                                         " was expected, but the store has version " +
                                                         std::to_string(base.version.value()) +
                                                         "; read the list again with: lists get " +
                                                         std::string(lists::to_string(name)));
    }
    return base;
}

std::string list_commands::apply(document_name name, const std::string& body) const
{
    this->require_operator();
    const auto base = this->read_base(name);
    const auto forecast = this->forecast_edit(name, body);
    if (this->configuration.is_dry_run) {
        return forecast + "Dry run: nothing was written.\n";
    }
    return this->commit(name, base, with_stored_edits(body, base.body));
}

std::string list_commands::commit(document_name name, const stored_document& base,
                                  const std::string& body) const
{
    const auto edit = this->store.write(name, base, body);
    const auto list_name = std::string(lists::to_string(name));
    if (edit.result() == lists::edit_result::conflict) {
        const auto current = this->store.read(name);
        const auto edits = lists::parse_edits(current.body);
        const auto by = edits.empty() ? std::string("another operator") : edits.back().by;
        throw operators_error(exit_status::conflict, by + " edited " + list_name +
                                                         " first; it is now version " +
                                                         std::to_string(current.version.value()) +
                                                         ". Your edit was not written or merged.");
    }
    if (edit.result() == lists::edit_result::unknown) {
        throw operators_error(exit_status::not_confirmed, "the store did not confirm the edit. Look for " +
                                                              edit.edit().id + " in: lists history " +
                                                              list_name);
    }
    if (this->configuration.waits_until_in_force) {
        this->wait_until_in_force(name, edit.applied_version());
    }
    return list_name + " version " + std::to_string(edit.applied_version().value()) + " is accepted" +
           (this->configuration.waits_until_in_force ? " and in force at every live instance" : "") + " (" +
           edit.edit().id + ").\n";
}

void list_commands::wait_until_in_force(document_name name, object_version version) const
{
    const fleet_access fleet(this->configuration, this->store);
    const auto wait_deadline = std::chrono::steady_clock::now() + this->configuration.wait;
    std::string outdated_instances;
    do {
        outdated_instances.clear();
        for (const auto& instance : fleet.statuses()) {
            const bool is_current =
                !instance.is_readable ||
                (instance.is_answering &&
                 instance.status.at("versions").at(lists::to_string(name)).to_number<std::uint64_t>() >=
                     version.value());
            outdated_instances += is_current ? "" : " " + instance.id;
        }
        if (outdated_instances.empty()) {
            return;
        }
        std::this_thread::sleep_for(wait_poll_interval);
    } while (std::chrono::steady_clock::now() < wait_deadline);
    throw operators_error(exit_status::timed_out,
                          "version " + std::to_string(version.value()) +
                              " is accepted; not reported yet by:" + outdated_instances);
}

std::string list_commands::record_call(const std::string& customer, const std::string& subject) const
{
    this->require_operator();
    const auto base = this->read_base(document_name::plans);
    auto value = parse_json(base.body, "plans");
    auto& object = value.as_object();
    if (!object.contains("calls")) {
        object["calls"] = json::array{};
    }
    object["calls"].as_array().push_back(
        {{"customer", customer}, {"subject", subject}, {"by", this->configuration.operator_name}});
    const auto body = json::serialize(value);
    try {
        lists::parse_plans(body);
    } catch (const error& failure) {
        throw_refused({failure.what()});
    }
    return this->commit(document_name::plans, base, body);
}

std::vector<drain::pending_notification> list_commands::forecast_drain(const std::string& drains_body,
                                                                       const std::string& id) const
{
    drain::slowdown_gate gate;
    gate.update(lists::parse_plans(this->store.read(document_name::plans).body),
                lists::parse_quotas(this->store.read(document_name::quotas).body),
                lists::parse_drains(drains_body),
                lists::parse_instances(this->store.read(document_name::instances).body));
    for (const auto& decision : gate.decisions()) {
        if (decision.mark.id == id) {
            return decision.pending_notifications;
        }
    }
    return {};
}

std::string list_commands::start_drain(const std::string& id, const std::string& kind,
                                       const std::string& target) const
{
    this->require_operator();
    const auto base = this->read_base(document_name::drains);
    auto value = parse_json(base.body, "drains");
    auto& object = value.as_object();
    if (!object.contains("drains")) {
        object["drains"] = json::array{};
    }
    object["drains"].as_array().push_back({{"id", id}, {"kind", kind}, {"target", target}});
    const auto body = json::serialize(value);
    std::vector<drain::pending_notification> due_notifications;
    try {
        due_notifications = this->forecast_drain(body, id);
    } catch (const operators_error&) {
        throw;
    } catch (const error& failure) {
        throw_refused({failure.what()});
    }
    const std::string forecast =
        due_notifications.empty() ? "Nobody within a quota is slowed; the drain takes effect at once.\n"
                                  : "The drain does not take effect until these customers have been called:" +
                                        describe_notifications(due_notifications) + "\n";
    if (this->configuration.is_dry_run) {
        return forecast + "Dry run: nothing was written.\n";
    }
    return forecast + this->commit(document_name::drains, base, body);
}

std::string list_commands::stop_drain(const std::string& id) const
{
    this->require_operator();
    const auto base = this->read_base(document_name::drains);
    auto value = parse_json(base.body, "drains");
    json::array remaining_drains;
    bool mark_exists = false;
    for (const auto& mark : lists::parse_drains(base.body).drains) {
        if (mark.id == id) {
            mark_exists = true;
            continue;
        }
        remaining_drains.push_back(
            {{"id", mark.id}, {"kind", lists::to_string(mark.kind)}, {"target", mark.target}});
    }
    if (!mark_exists) {
        throw operators_error(exit_status::refused, "drain '" + id + "': no such drain mark");
    }
    value.as_object()["drains"] = std::move(remaining_drains);
    return this->commit(document_name::drains, base, json::serialize(value));
}
} // namespace buckthornhill::operators
