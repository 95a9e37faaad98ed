#include "store/collection_types.h"

#include "store/store_errors.h"

namespace buckthornhill::store {
std::string_view to_string(collection which)
{
    switch (which) {
    case collection::configuration:
        return "configuration";
    case collection::upstreams:
        return "upstreams";
    case collection::evacuations:
        return "evacuations";
    case collection::quarantines:
        return "quarantines";
    case collection::instances:
        return "instances";
    }
    return "unknown";
}

collection parse_collection(std::string_view name)
{
    for (const auto which : all_collections) {
        if (to_string(which) == name) {
            return which;
        }
    }
    throw store_error("unknown collection '" + std::string(name) + "'");
}
} // namespace buckthornhill::store
