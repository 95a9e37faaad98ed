#include "http/connect_probe.h"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace buckthornhill::http {
namespace asio = boost::asio;

namespace {
struct pending_probe
{
    explicit pending_probe(asio::io_context& context)
        : socket(context)
        , timer(context)
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
};

connect_result result_of(const boost::system::error_code& failure)
{
    if (!failure) {
        return connect_result::connected;
    }
    return failure == asio::error::connection_refused ? connect_result::refused : connect_result::failed;
}
} // namespace

void probe_connect(asio::io_context& context, const endpoint& server, std::chrono::milliseconds timeout,
                   std::function<void(connect_result)> handler)
{
    const auto probe = std::make_shared<pending_probe>(context);
    const asio::ip::tcp::endpoint target(asio::ip::make_address(server.address), server.port);
    probe->timer.expires_after(timeout);
    probe->timer.async_wait([probe](const boost::system::error_code& failure) {
        if (!failure) {
            boost::system::error_code ignored;
            probe->socket.close(ignored);
        }
    });
    probe->socket.async_connect(
        target, [probe, handler = std::move(handler)](const boost::system::error_code& failure) {
            probe->timer.cancel();
            boost::system::error_code ignored;
            probe->socket.close(ignored);
            handler(result_of(failure));
        });
}
} // namespace buckthornhill::http
