#include "loopback_proxy.h"

#include <array>
#include <list>
#include <random>

#include <boost/asio.hpp>

#include "platform_messages.h"

namespace buckthornhill::soak {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::chrono::milliseconds added_delay{120};
constexpr std::chrono::milliseconds hold_poll_interval{20}; //!< between checks whether data may pass again
constexpr std::size_t chunk_bytes = 16UL * 1024;
//! From a response to the bytes after it, so that some arrive while the next request is in progress.
constexpr std::uint64_t max_stray_delay_ms = 150;
constexpr std::string_view no_response = "\x16\x03\x01 this is no response\r\n\r\n";
constexpr std::size_t cut_head_bytes = 24;
constexpr auto as_result_tuple = asio::as_tuple(asio::use_awaitable);

//! The connection from a client and the matching connection to the target.
struct connection_pair
{
    explicit connection_pair(asio::io_context& context, tcp::socket accepted)
        : client_side(std::move(accepted))
        , target_side(context)
    {
    }

    void reset()
    {
        boost::system::error_code ignored;
        for (auto* socket : {&this->client_side, &this->target_side}) {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }

    tcp::socket client_side;
    tcp::socket target_side;
    bool has_lost_data = false; //!< of a response; what follows is dropped too
    cut_check is_cut;
};
using pair_ptr = std::shared_ptr<connection_pair>;
} // namespace

struct loopback_proxy::implementation : std::enable_shared_from_this<implementation>
{
    implementation(asio::io_context& io, const http::endpoint& to, const http::endpoint& listener)
        : context(io)
        , target(endpoint_of(to))
        , acceptor(io, endpoint_of(listener))
    {
    }

    static tcp::endpoint endpoint_of(const http::endpoint& from)
    {
        return {asio::ip::make_address(from.address), from.port};
    }

    bool is_held_back(const connection_pair& pair, bool is_response) const
    {
        return this->mode == proxy_mode::blackhole ||
               (this->mode == proxy_mode::block_responses && is_response) || (pair.is_cut && pair.is_cut());
    }

    //! What follows `response` on the connection although it belongs to no request.
    std::string stray_bytes(std::string_view response)
    {
        if (this->mode == proxy_mode::add_refusals) {
            return std::string(platform::standins::refusal_without_id);
        }
        if (this->mode == proxy_mode::repeat_responses) {
            return std::string(response);
        }
        constexpr std::uint64_t hundred = 100;
        if (this->random() % hundred >= this->spoiled_per_hundred) {
            return {};
        }
        ++this->spoiled;
        switch (this->random() % 4) {
        case 0:
            return std::string(platform::standins::refusal_without_id);
        case 1:
            return std::string(platform::standins::misdirection_without_id);
        case 2:
            return std::string(response);
        default:
            return std::string(no_response);
        }
    }

    static asio::awaitable<void> accept(std::shared_ptr<implementation> self)
    {
        while (self->acceptor.is_open()) {
            auto [failure, socket] = co_await self->acceptor.async_accept(as_result_tuple);
            if (failure) {
                co_return;
            }
            const auto pair = std::make_shared<connection_pair>(self->context, std::move(socket));
            boost::system::error_code ignored;
            const auto client = pair->client_side.remote_endpoint(ignored);
            pair->is_cut = self->on_client ? self->on_client({client.address().to_string(), client.port()})
                                           : cut_check();
            if (self->mode == proxy_mode::reset) {
                pair->reset();
                continue;
            }
            self->pairs.push_back(pair);
            asio::co_spawn(self->context, connect(self, pair), asio::detached);
        }
    }

    static asio::awaitable<void> connect(std::shared_ptr<implementation> self, pair_ptr pair)
    {
        const auto [failure] = co_await pair->target_side.async_connect(self->target, as_result_tuple);
        if (failure) {
            pair->reset();
            co_return;
        }
        asio::co_spawn(self->context, forward(self, pair, false), asio::detached);
        asio::co_spawn(self->context, forward(self, pair, true), asio::detached);
    }

    static asio::awaitable<void> forward(std::shared_ptr<implementation> self, pair_ptr pair,
                                         bool is_response)
    {
        auto& from = is_response ? pair->target_side : pair->client_side;
        auto& to = is_response ? pair->client_side : pair->target_side;
        asio::steady_timer timer(self->context);
        std::array<char, chunk_bytes> chunk{};
        while (true) {
            const auto [read_failure, size] =
                co_await from.async_read_some(asio::buffer(chunk), as_result_tuple);
            while (self->is_held_back(*pair, is_response) && to.is_open()) {
                timer.expires_after(hold_poll_interval);
                co_await timer.async_wait(as_result_tuple);
            }
            if (self->mode == proxy_mode::delay) {
                timer.expires_after(added_delay);
                co_await timer.async_wait(as_result_tuple);
            }
            if (read_failure) {
                break;
            }
            pair->has_lost_data |= is_response && self->mode == proxy_mode::lose_responses;
            if (is_response && pair->has_lost_data) {
                continue;
            }
            const bool cuts_head = is_response && self->mode == proxy_mode::cut_heads;
            const auto forwarded = cuts_head ? std::min(size, cut_head_bytes) : size;
            const auto [write_failure, written] =
                co_await asio::async_write(to, asio::buffer(chunk.data(), forwarded), as_result_tuple);
            if (write_failure || cuts_head) {
                break;
            }
            const auto stray = is_response ? self->stray_bytes({chunk.data(), size}) : std::string();
            if (!stray.empty()) {
                timer.expires_after(std::chrono::milliseconds(self->random() % max_stray_delay_ms));
                co_await timer.async_wait(as_result_tuple);
                co_await asio::async_write(to, asio::buffer(stray), as_result_tuple);
            }
        }
        boost::system::error_code ignored;
        pair->client_side.close(ignored);
        pair->target_side.close(ignored);
        self->pairs.remove(pair);
    }

    void reset_all()
    {
        for (const auto& pair : this->pairs) {
            pair->reset();
        }
        this->pairs.clear();
    }

    asio::io_context& context;
    tcp::endpoint target;
    tcp::acceptor acceptor;
    std::list<pair_ptr> pairs;
    proxy_mode mode = proxy_mode::pass;
    unsigned spoiled_per_hundred = 0;
    std::uint64_t spoiled = 0;
    std::mt19937_64 random;
    client_hook on_client;
};

loopback_proxy::loopback_proxy(asio::io_context& context, const http::endpoint& target,
                               const http::endpoint& listener)
    : state(std::make_shared<implementation>(context, target, listener))
{
    asio::co_spawn(context, implementation::accept(this->state), asio::detached);
}

loopback_proxy::~loopback_proxy()
{
    this->close();
}

void loopback_proxy::close()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
    this->state->reset_all();
}

http::endpoint loopback_proxy::address() const
{
    const auto local = this->state->acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

void loopback_proxy::set_spoiling(unsigned per_hundred, std::uint64_t seed)
{
    this->state->spoiled_per_hundred = per_hundred;
    this->state->random.seed(seed);
}

void loopback_proxy::on_client(client_hook hook)
{
    this->state->on_client = std::move(hook);
}

void loopback_proxy::retarget(const http::endpoint& target)
{
    this->state->reset_all();
    this->state->target = implementation::endpoint_of(target);
}

std::uint64_t loopback_proxy::spoiled_responses() const
{
    return this->state->spoiled;
}

void loopback_proxy::set_mode(proxy_mode mode)
{
    this->state->mode = mode;
    if (mode == proxy_mode::reset) {
        this->state->reset_all();
    }
}
} // namespace buckthornhill::soak
