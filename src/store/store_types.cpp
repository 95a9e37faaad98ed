#include "store/store_types.h"

#include <charconv>

#include "lists/list_codec.h"

namespace buckthornhill::store {
object_version version_in(const http::http_response& response)
{
    const auto text = http::find_header(response.headers, "X-Version");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return object_version(number);
}

std::string path_of_document(lists::document_name name)
{
    if (name == lists::document_name::instances) {
        return "/v1/instances";
    }
    return "/v1/objects/" + std::string(lists::to_string(name));
}
} // namespace buckthornhill::store
