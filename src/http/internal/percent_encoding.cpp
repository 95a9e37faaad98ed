#include "http/percent_encoding.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace buckthornhill::http {
std::string percent_encoded(std::string_view text)
{
    return boost::urls::encode({text.data(), text.size()}, boost::urls::unreserved_chars);
}
} // namespace buckthornhill::http
