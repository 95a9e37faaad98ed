#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "operators/operators_types.h"
#include "operators/store_access.h"

namespace buckthornhill {
class json_reader;
}

namespace buckthornhill::operators {
struct instance_status
{
    std::string id;          //!< the entry's place in the list when it cannot be read
    std::string address;     //!< address of its operators' listener
    bool is_readable = true; //!< false for an entry of the list that names no instance
    bool is_answering = false;
    boost::json::value status;
};

//! Reads the list of entry instances from the store and queries each for its state.
class fleet_access
{
public:
    fleet_access(const operators_configuration& configuration, const store_access& store);

    std::vector<instance_status> statuses() const;
    std::vector<std::string> caller_addresses() const;

private:
    instance_status status_of(const json_reader& list, std::size_t index) const;

    const operators_configuration& configuration;
    const store_access& store;
};
} // namespace buckthornhill::operators
