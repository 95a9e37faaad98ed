#pragma once

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace buckthornhill::http {
//! Body type of Boost.Beast for outgoing messages whose body others hold too.
struct shared_body
{
    using value_type = std::shared_ptr<const std::string>; //!< null for an empty body

    static std::uint64_t size(const value_type& body) { return body == nullptr ? 0 : body->size(); }

    class writer
    {
    public:
        using const_buffers_type = boost::asio::const_buffer;

        template <bool is_request, class Fields>
        writer(const boost::beast::http::header<is_request, Fields>&, const value_type& written)
            : body(written)
        {
        }
        void init(boost::system::error_code& failure) { failure = {}; }
        boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code& failure)
        {
            failure = {};
            const auto bytes =
                this->body == nullptr ? const_buffers_type{} : boost::asio::buffer(*this->body);
            return std::pair(const_buffers_type(bytes), false);
        }

    private:
        const value_type& body;
    };
};
} // namespace buckthornhill::http
