#include "http/http_client.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/internal/client_connection.h"

namespace buckthornhill::http {
namespace asio = boost::asio;

namespace {
//! Deadlines closer together than this are handled in one sweep.
constexpr std::chrono::milliseconds min_sweep_interval{10};
} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& io, const client_limits& bounds)
        : context(io)
        , limits(bounds)
        , sweep_timer(io)
    {
    }

    call_id send(const endpoint& server, http_request request, call_options options, call_handler handler)
    {
        const call_id call = ++this->last_call;
        auto connection = this->take_idle(server, options.choice);
        if (connection == nullptr) {
            connection = this->make_connection(server);
        }
        connection->call = call;
        connection->handler = std::move(handler);
        this->busy.push_back(*connection);
        this->calls.emplace(call, connection);
        connection->start(std::move(request), std::move(options));
        this->schedule_sweep(connection->deadline());
        return call;
    }

    void cancel(call_id call)
    {
        const auto found = this->calls.find(call);
        if (found == this->calls.end()) {
            return;
        }
        //! NOTE Posted, since a handler must not run inside a call of its owner.
        asio::post(this->context, [connection = found->second, call] {
            if (connection->call == call) {
                connection->abandon(call_status::cancelled);
            }
        });
    }

    void close()
    {
        this->is_closed = true;
        this->sweep_timer.cancel();
        for (auto& [server, idle] : this->idle_by_server) {
            for (auto& connection : idle) {
                connection->close();
            }
        }
        this->idle_by_server.clear();
        while (!this->finishing.empty()) {
            const client_connection::pointer connection(&this->finishing.front());
            connection->close();
        }
        while (!this->busy.empty()) {
            const client_connection::pointer connection(&this->busy.front());
            connection->handler = nullptr;
            connection->abandon(call_status::cancelled);
        }
    }

    std::size_t buffered_bytes() const
    {
        return std::accumulate(
            this->busy.begin(), this->busy.end(), std::size_t{0},
            [](std::size_t sum, const client_connection& one) { return sum + one.buffered_bytes(); });
    }

    std::size_t idle_bytes() const
    {
        std::size_t sum = 0;
        for (const auto& [server, idle] : this->idle_by_server) {
            for (const auto& connection : idle) {
                sum += connection->held_bytes();
            }
        }
        return sum;
    }

private:
    using connection_list =
        boost::intrusive::list<client_connection, boost::intrusive::constant_time_size<false>>;

    client_connection::pointer make_connection(const endpoint& server)
    {
        client_connection::hooks hooks;
        hooks.on_finished = [weak = this->weak_from_this()](const client_connection::pointer& connection,
                                                            call_result result, bool is_reusable) {
            if (const auto self = weak.lock()) {
                self->on_finished(connection, std::move(result), is_reusable);
            }
        };
        hooks.on_buffer_growth = [weak = this->weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->enforce_buffer_limit();
            }
        };
        hooks.make_room = [weak = this->weak_from_this()](const client_connection& needy, std::size_t bytes) {
            const auto self = weak.lock();
            return self != nullptr && self->make_room(needy, bytes);
        };
        return {new client_connection(this->context, server, this->limits, std::move(hooks))};
    }

    void enforce_buffer_limit()
    {
        while (this->buffered_bytes() > this->limits.max_buffered_bytes) {
            const auto largest = std::ranges::max_element(this->busy, {}, &client_connection::buffered_bytes);
            const client_connection::pointer connection(&*largest);
            connection->fail_oversized_response();
        }
    }

    //! Ends the largest response without a known end if it is larger than what `needy` needs: it may never
    //! end, while the other one may be complete.
    bool make_room(const client_connection& needy, std::size_t bytes)
    {
        const auto largest = std::ranges::max_element(this->busy, {}, &client_connection::open_ended_bytes);
        if (largest == this->busy.end() || &*largest == &needy || largest->open_ended_bytes() <= bytes) {
            return false;
        }
        const client_connection::pointer connection(&*largest);
        connection->fail_oversized_response();
        return true;
    }

    client_connection::pointer take_idle(const endpoint& server, connection_choice choice)
    {
        if (choice == connection_choice::fresh) {
            return nullptr;
        }
        auto& idle = this->idle_by_server[server];
        const auto now = std::chrono::steady_clock::now();
        while (!idle.empty()) {
            const bool is_recent = now - idle.back()->idle_since() <= this->limits.recent_idle;
            if (choice == connection_choice::recent && !is_recent) {
                return nullptr;
            }
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (connection->is_alive_when_idle()) {
                return connection;
            }
            connection->close();
        }
        return nullptr;
    }

    void on_finished(const client_connection::pointer& connection, call_result result, bool is_reusable)
    {
        if (connection->is_linked()) {
            connection->unlink();
        }
        this->calls.erase(connection->call);
        connection->call = call_id{};
        const auto handler = std::move(connection->handler);
        connection->handler = nullptr;
        if (is_reusable && !this->is_closed) {
            this->keep_idle(connection);
        } else if (connection->is_finishing_request() && !this->is_closed) {
            //! NOTE The write in progress owns the connection; the sweep ends it at the call's deadline.
            this->finishing.push_back(*connection);
            this->schedule_sweep(connection->deadline());
        } else {
            connection->close();
        }
        if (handler) {
            handler(std::move(result));
        }
    }

    void keep_idle(const client_connection::pointer& connection)
    {
        auto& idle = this->idle_by_server[connection->server()];
        if (idle.size() >= this->limits.max_idle_per_endpoint) {
            connection->close();
            return;
        }
        connection->set_deadline(std::chrono::steady_clock::now() + this->limits.idle_timeout);
        idle.push_back(connection);
        this->schedule_sweep(connection->deadline());
    }

    //! Sweeps when `deadline` has passed, unless an earlier sweep is due anyway; each sets the next.
    void schedule_sweep(time_point deadline)
    {
        if (this->is_closed || deadline >= this->next_sweep) {
            return;
        }
        this->next_sweep = std::max(deadline, std::chrono::steady_clock::now() + min_sweep_interval);
        this->sweep_timer.expires_at(this->next_sweep);
        this->sweep_timer.async_wait(
            [weak = this->weak_from_this()](const boost::system::error_code& failure) {
                const auto self = weak.lock();
                if (self && !failure) {
                    self->next_sweep = time_point::max();
                    self->sweep();
                }
            });
    }

    void sweep()
    {
        const auto now = std::chrono::steady_clock::now();
        for (auto position = this->busy.begin(); position != this->busy.end();) {
            const client_connection::pointer connection(&*position);
            ++position;
            if (now >= connection->deadline()) {
                connection->abandon(call_status::timed_out);
                //! NOTE The handler may have started or ended other calls, so the iteration restarts.
                position = this->busy.begin();
            }
        }
        auto next = time_point::max();
        for (const auto& connection : this->busy) {
            next = std::min(next, connection.deadline());
        }
        for (auto position = this->finishing.begin(); position != this->finishing.end();) {
            const client_connection::pointer connection(&*position);
            ++position;
            if (now >= connection->deadline()) {
                connection->close();
            } else {
                next = std::min(next, connection->deadline());
            }
        }
        for (auto& [server, idle] : this->idle_by_server) {
            std::erase_if(idle, [now, &next](const client_connection::pointer& connection) {
                const bool is_stale = now >= connection->deadline();
                if (is_stale) {
                    connection->close();
                } else {
                    next = std::min(next, connection->deadline());
                }
                return is_stale;
            });
        }
        std::erase_if(this->idle_by_server, [](const auto& item) { return item.second.empty(); });
        this->schedule_sweep(next);
    }

    asio::io_context& context;
    client_limits limits;
    asio::steady_timer sweep_timer;
    time_point next_sweep = time_point::max(); //!< when the timer ends; none is set at the maximum
    connection_list busy;
    connection_list finishing; //!< have their responses, while the rest of the request is being written
    std::map<endpoint, std::vector<client_connection::pointer>> idle_by_server;
    std::unordered_map<call_id, client_connection::pointer> calls;
    call_id last_call;
    bool is_closed = false;
};

http_client::http_client(asio::io_context& context, const client_limits& limits)
    : state(std::make_shared<implementation>(context, limits))
{
}

http_client::~http_client()
{
    this->state->close();
}

call_id http_client::send(const endpoint& server, http_request request, time_point deadline,
                          connection_choice choice, call_handler handler)
{
    call_options options;
    options.deadline = deadline;
    options.choice = choice;
    return this->send(server, std::move(request), std::move(options), std::move(handler));
}

call_id http_client::send(const endpoint& server, http_request request, call_options options,
                          call_handler handler)
{
    return this->state->send(server, std::move(request), std::move(options), std::move(handler));
}

void http_client::cancel(call_id call)
{
    this->state->cancel(call);
}

std::size_t http_client::buffered_bytes() const
{
    return this->state->buffered_bytes();
}

std::size_t http_client::idle_bytes() const
{
    return this->state->idle_bytes();
}

void http_client::close()
{
    this->state->close();
}
} // namespace buckthornhill::http
