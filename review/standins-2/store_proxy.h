#pragma once

#include <list>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/http_types.h"

namespace buckthornhill::review {
//! Stands between one gateway and the store, and cuts the gateway off on request.
class store_proxy
{
public:
    store_proxy(boost::asio::io_context& io, const http::endpoint& own, const http::endpoint& store);
    ~store_proxy();
    store_proxy(const store_proxy&) = delete;
    store_proxy& operator=(const store_proxy&) = delete;

    //! While cut off, channels get no bytes through, new ones neither. Channels of before end with a reset
    //! when the cut is over.
    void set_cut(bool is_now_cut);

private:
    using tcp = boost::asio::ip::tcp;
    struct channel
    {
        explicit channel(tcp::socket accepted);
        void reset();
        tcp::socket caller;
        tcp::socket callee;
        bool was_cut = false;
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<channel> opened);
    boost::asio::awaitable<void> copy(std::shared_ptr<channel> opened, bool is_upwards);

    boost::asio::io_context& context;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::list<std::weak_ptr<channel>> channels;
    bool is_cut = false;
};
} // namespace buckthornhill::review
