#include "http/http_types.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include <boost/asio/ip/address.hpp>

#include "http/http_errors.h"

namespace buckthornhill::http {
namespace {
bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string percent_decoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        const bool is_escape = text[i] == '%' && i + 2 < text.size();
        if (is_escape &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            decoded.push_back(static_cast<char>(value));
            i += 2;
            continue;
        }
        decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
    return decoded;
}
} // namespace

bool is_same_header(std::string_view a, std::string_view b)
{
    return equals_ignoring_case(a, b);
}

std::string_view find_header(const header_list& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equals_ignoring_case(key, name)) {
            return value;
        }
    }
    return {};
}

endpoint parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw http_error("endpoint '" + std::string(text) + "': expected address:port");
    }
    endpoint parsed;
    parsed.address = std::string(text.substr(0, colon));
    boost::system::error_code failure;
    boost::asio::ip::make_address(parsed.address, failure);
    const auto digits = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    if (failure || status != std::errc{} || end != digits.data() + digits.size()) {
        throw http_error("endpoint '" + std::string(text) + "': expected an IP address and a port");
    }
    return parsed;
}

std::string query_value(std::string_view target, std::string_view key)
{
    auto position = target.find('?');
    while (position != std::string_view::npos) {
        const auto start = position + 1;
        const auto end = target.find('&', start);
        const auto pair = target.substr(start, end == std::string_view::npos ? end : end - start);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == key && equals != std::string_view::npos) {
            return percent_decoded(pair.substr(equals + 1));
        }
        position = end;
    }
    return {};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}
} // namespace buckthornhill::http
