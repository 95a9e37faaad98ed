#include "http/hop_headers.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace buckthornhill::http {
namespace {
constexpr std::array hop_headers{"Connection", "Keep-Alive", "Transfer-Encoding",   "Content-Length",
                                 "TE",         "Trailer",    "Proxy-Authorization", "Proxy-Authenticate",
                                 "Upgrade",    "Expect",     "Proxy-Connection"};
}

bool is_hop_header(std::string_view name)
{
    return std::ranges::any_of(hop_headers, [name](const char* hop) {
        return boost::beast::iequals({name.data(), name.size()}, hop);
    });
}

void copy_end_to_end(const header_list& from, header_list& to)
{
    const auto connection = find_header(from, "Connection");
    boost::beast::http::token_list named({connection.data(), connection.size()});
    for (const auto& header : from) {
        if (!is_hop_header(header.first) && !named.exists(header.first)) {
            to.push_back(header);
        }
    }
}
} // namespace buckthornhill::http
