#include "store_proxy.h"

#include <array>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace buckthornhill::review {
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {
constexpr auto as_result_tuple = asio::as_tuple(asio::use_awaitable);

tcp::endpoint tcp_endpoint_of(const http::endpoint& address)
{
    return {asio::ip::make_address(address.address), address.port};
}
} // namespace

store_proxy::channel::channel(tcp::socket accepted)
    : caller(std::move(accepted))
    , callee(this->caller.get_executor())
{
}

void store_proxy::channel::reset()
{
    boost::system::error_code ignored;
    for (auto* socket : {&this->caller, &this->callee}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

store_proxy::store_proxy(asio::io_context& io, const http::endpoint& own, const http::endpoint& store)
    : context(io)
    , target(tcp_endpoint_of(store))
    , acceptor(io, tcp_endpoint_of(own))
{
    asio::co_spawn(io, this->accept(), asio::detached);
}

store_proxy::~store_proxy()
{
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& known : this->channels) {
        if (const auto opened = known.lock()) {
            opened->reset();
        }
    }
}

void store_proxy::set_cut(bool is_now_cut)
{
    this->is_cut = is_now_cut;
    for (const auto& known : this->channels) {
        const auto opened = known.lock();
        if (opened && this->is_cut) {
            opened->was_cut = true;
        } else if (opened && opened->was_cut) {
            opened->reset();
        }
    }
    this->channels.remove_if([](const auto& known) { return known.expired(); });
}

asio::awaitable<void> store_proxy::accept()
{
    while (this->acceptor.is_open()) {
        auto [failure, socket] = co_await this->acceptor.async_accept(as_result_tuple);
        if (failure) {
            continue;
        }
        const auto opened = std::make_shared<channel>(std::move(socket));
        opened->was_cut = this->is_cut;
        this->channels.push_back(opened);
        asio::co_spawn(this->context, this->connect(opened), asio::detached);
    }
}

asio::awaitable<void> store_proxy::connect(std::shared_ptr<channel> opened)
{
    const auto [failure] = co_await opened->callee.async_connect(this->target, as_result_tuple);
    if (failure) {
        opened->reset();
        co_return;
    }
    asio::co_spawn(this->context, this->copy(opened, true), asio::detached);
    asio::co_spawn(this->context, this->copy(opened, false), asio::detached);
}

asio::awaitable<void> store_proxy::copy(std::shared_ptr<channel> opened, bool is_upwards)
{
    auto& source = is_upwards ? opened->caller : opened->callee;
    auto& sink = is_upwards ? opened->callee : opened->caller;
    std::array<char, 8192> bytes{};
    while (true) {
        const auto [failure, size] = co_await source.async_read_some(asio::buffer(bytes), as_result_tuple);
        if (opened->was_cut && !failure) {
            continue;
        }
        if (failure) {
            break;
        }
        const auto [refusal, written] =
            co_await asio::async_write(sink, asio::buffer(bytes, size), as_result_tuple);
        if (refusal) {
            break;
        }
    }
    if (!opened->was_cut) {
        opened->reset();
    }
}
} // namespace buckthornhill::review
