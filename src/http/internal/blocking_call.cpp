#include "http/blocking_call.h"

#include <boost/asio/io_context.hpp>

namespace buckthornhill::http {
call_result call_and_wait(const endpoint& server, http_request request, std::chrono::milliseconds timeout)
{
    boost::asio::io_context context;
    http_client client(context, client_limits{});
    call_result received;
    client.send(server, std::move(request), std::chrono::steady_clock::now() + timeout,
                connection_choice::fresh, [&](call_result result) {
                    received = std::move(result);
                    context.stop();
                });
    context.run();
    return received;
}
} // namespace buckthornhill::http
