#include "operators/store_access.h"

#include <random>

#include "http/blocking_call.h"
#include "lists/list_codec.h"
#include "operators/operators_errors.h"
#include "store/store_types.h"

namespace buckthornhill::operators {
namespace {
constexpr int max_edit_attempts = 5;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 412;

std::string new_edit_id()
{
    std::random_device device;
    return "edit-" + std::to_string(device()) + "-" + std::to_string(device());
}
} // namespace

store_access::store_access(const operators_configuration& settings)
    : configuration(settings)
{
    if (settings.store.empty()) {
        throw operators_error(exit_status::usage, "--store: must be set to the address of the object API");
    }
    try {
        this->store = http::parse_endpoint(settings.store);
    } catch (const error& failure) {
        throw operators_error(exit_status::usage, std::string("--store: ") + failure.what());
    }
}

std::optional<stored_document> store_access::try_read(lists::document_name name) const
{
    http::http_request request;
    request.target = store::path_of_document(name);
    const auto result = http::call_and_wait(this->store, std::move(request), this->configuration.timeout);
    if (result.status != http::call_status::complete) {
        return std::nullopt;
    }
    if (result.response.status == status_not_found) {
        return stored_document{object_version{}, "{}"};
    }
    if (result.response.status != status_ok) {
        return std::nullopt;
    }
    return stored_document{store::version_in(result.response), result.response.body};
}

stored_document store_access::read(lists::document_name name) const
{
    auto document = this->try_read(name);
    if (!document) {
        throw operators_error(exit_status::failure,
                              "the store at " + this->store.str() + " does not answer for " +
                                  std::string(lists::to_string(name)) + "; try again later");
    }
    return *document;
}

std::pair<lists::write_response, object_version>
store_access::try_write(lists::document_name name, object_version expected, const std::string& body) const
{
    http::http_request request;
    request.method = "PUT";
    request.target = store::path_of_document(name);
    request.headers.emplace_back("If-Match", std::to_string(expected.value()));
    request.body = body;
    const auto result = http::call_and_wait(this->store, std::move(request), this->configuration.timeout);
    if (result.status != http::call_status::complete) {
        return {lists::write_response::lost, {}};
    }
    if (result.response.status == status_ok) {
        return {lists::write_response::accepted, store::version_in(result.response)};
    }
    const bool is_conflict = result.response.status == status_conflict;
    return {is_conflict ? lists::write_response::version_conflict : lists::write_response::lost, {}};
}

lists::list_edit store_access::write(lists::document_name name, const stored_document& base,
                                     const std::string& body) const
{
    lists::list_edit edit(base.version, {new_edit_id(), this->configuration.operator_name},
                          max_edit_attempts);
    const auto body_with_edit = lists::with_edit(body, edit.edit());
    while (edit.step() != lists::edit_step::finished) {
        if (edit.step() == lists::edit_step::write) {
            const auto [response, version] = this->try_write(name, edit.expected_version(), body_with_edit);
            edit.on_write_response(response, version);
            continue;
        }
        const auto current = this->try_read(name);
        edit.on_read_back(current ? std::optional(current->body) : std::nullopt,
                          current ? current->version : object_version{});
    }
    return edit;
}
} // namespace buckthornhill::operators
