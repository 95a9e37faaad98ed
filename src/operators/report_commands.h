#pragma once

#include <string>

#include "operators/fleet_access.h"
#include "operators/operators_types.h"

namespace buckthornhill::operators {
//! Commands that combine the state of all instances. Each returns the text to print.
class report_commands
{
public:
    report_commands(const operators_configuration& configuration, const fleet_access& fleet);

    std::string status() const;
    std::string drain_status() const;
    //! Burn rates by service and customer group, summed over all instances that respond.
    std::string burn() const;

private:
    const operators_configuration& configuration;
    const fleet_access& fleet;
};
} // namespace buckthornhill::operators
