#include "platform/platform_types.h"

#include "lists/list_codec.h"

namespace buckthornhill::platform {
std::string path_of_document(lists::document_name name)
{
    if (name == lists::document_name::instances) {
        return "/v1/instances";
    }
    return "/v1/objects/" + std::string(lists::to_string(name));
}
} // namespace buckthornhill::platform
