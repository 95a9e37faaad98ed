#include "http/http_server.h"

#include <algorithm>

#include <boost/asio/io_context.hpp>

#include "global/periodic_timer.h"
#include "http/http_errors.h"
#include "http/internal/http_session.h"

namespace buckthornhill::http {
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::chrono::milliseconds sweep_interval{250};
}

class http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context& io, const endpoint& bind_to, const server_limits& limits,
                   request_handler handler)
        : context(io)
        , acceptor(io)
        , shared(std::make_shared<session_context>(
              session_context{limits, std::move(handler), nullptr, nullptr, false}))
    {
        try {
            const tcp::endpoint local(asio::ip::make_address(bind_to.address), bind_to.port);
            this->acceptor.open(local.protocol());
            this->acceptor.set_option(tcp::acceptor::reuse_address(true));
            this->acceptor.bind(local);
            this->acceptor.listen();
        } catch (const boost::system::system_error& failure) {
            throw http_error("listener " + bind_to.str() + ": " + failure.code().message());
        }
    }

    void start()
    {
        this->accept();
        this->start_sweeping();
    }

    endpoint local_endpoint() const
    {
        const auto local = this->acceptor.local_endpoint();
        return {local.address().to_string(), local.port()};
    }

    void announce_close() { this->shared->is_closing = true; }
    void set_limits(const server_limits& limits) { this->shared->limits = limits; }
    void on_rejection(rejection_hook hook) { this->shared->on_rejection = std::move(hook); }
    void on_concurrency_check(concurrency_check hook)
    {
        this->shared->may_run_concurrently = std::move(hook);
    }
    bool is_idle() const
    {
        return std::ranges::all_of(this->sessions, [](const http_session& one) { return one.is_idle(); });
    }

    void stop_accepting()
    {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->shared->is_closing = true;
    }

    void close()
    {
        this->stop_accepting();
        this->is_closed = true;
        this->sweep_timer->stop();
        while (!this->sessions.empty()) {
            const boost::intrusive_ptr<http_session> session(&this->sessions.front());
            session->close();
        }
    }

    std::size_t connection_count() const { return this->sessions.size(); }

private:
    using session_list = boost::intrusive::list<http_session, boost::intrusive::constant_time_size<false>>;

    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const boost::system::error_code& failure, tcp::socket socket) {
                if (failure == asio::error::operation_aborted || !self->acceptor.is_open()) {
                    return;
                }
                self->accept();
                if (!failure) {
                    self->admit(std::move(socket));
                }
            });
    }

    void admit(tcp::socket socket)
    {
        if (this->sessions.size() >= this->shared->limits.max_connections) {
            return;
        }
        const boost::intrusive_ptr<http_session> session(new http_session(std::move(socket), this->shared));
        this->sessions.push_back(*session);
        session->start();
    }

    void start_sweeping()
    {
        this->sweep_timer =
            std::make_unique<periodic_timer>(this->context, sweep_interval, [weak = this->weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->sweep();
                }
            });
        this->sweep_timer->start();
    }

    void sweep()
    {
        const auto now = std::chrono::steady_clock::now();
        for (auto position = this->sessions.begin(); position != this->sessions.end();) {
            const boost::intrusive_ptr<http_session> session(&*position);
            ++position;
            if (session->is_expired(now)) {
                session->expire(now);
            }
        }
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    std::unique_ptr<periodic_timer> sweep_timer;
    std::shared_ptr<session_context> shared;
    session_list sessions;
    bool is_closed = false;
};

http_server::http_server(asio::io_context& context, const endpoint& bind_to, const server_limits& limits,
                         request_handler handler)
    : state(std::make_shared<implementation>(context, bind_to, limits, std::move(handler)))
{
    this->state->start();
}

http_server::~http_server()
{
    this->state->close();
}

endpoint http_server::local_endpoint() const
{
    return this->state->local_endpoint();
}

void http_server::announce_close()
{
    this->state->announce_close();
}

void http_server::set_limits(const server_limits& limits)
{
    this->state->set_limits(limits);
}

void http_server::on_rejection(rejection_hook hook)
{
    this->state->on_rejection(std::move(hook));
}

void http_server::on_concurrency_check(concurrency_check hook)
{
    this->state->on_concurrency_check(std::move(hook));
}

bool http_server::is_idle() const
{
    return this->state->is_idle();
}

void http_server::stop_accepting()
{
    this->state->stop_accepting();
}

std::size_t http_server::connection_count() const
{
    return this->state->connection_count();
}

void http_server::close()
{
    this->state->close();
}
} // namespace buckthornhill::http
