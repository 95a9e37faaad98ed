#pragma once

#include <string>
#include <vector>

#include "drain/drain_types.h"
#include "operators/operators_types.h"
#include "operators/store_access.h"

namespace buckthornhill::operators {
//! Commands that read and edit the lists, the recorded customer calls and the drain marks. Each returns the
//! text to print.
class list_commands
{
public:
    list_commands(const operators_configuration& configuration, const store_access& store);

    std::string get(lists::document_name name) const;
    std::string history(lists::document_name name) const;
    std::string check(lists::document_name name, const std::string& body) const;
    std::string apply(lists::document_name name, const std::string& body) const;
    std::string record_call(const std::string& customer, const std::string& subject) const;
    std::string start_drain(const std::string& id, const std::string& kind, const std::string& target) const;
    std::string stop_drain(const std::string& id) const;

private:
    //! Returns the forecast. Throws when `body` has a fault or when customers must be called before the edit.
    std::string forecast_edit(lists::document_name name, const std::string& body) const;
    std::vector<drain::pending_notification> forecast_drain(const std::string& drains_body,
                                                            const std::string& id) const;
    std::string commit(lists::document_name name, const stored_document& base, const std::string& body) const;
    void require_operator() const;
    void wait_until_in_force(lists::document_name name, object_version version) const;
    stored_document read_base(lists::document_name name) const;

    const operators_configuration& configuration;
    const store_access& store;
};
} // namespace buckthornhill::operators
