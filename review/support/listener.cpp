#include "listener.h"

#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthornhill::review {
namespace {
constexpr int backlog = 256;
constexpr int accept_poll_ms = 20;
} // namespace

listener::listener(const std::string& ip, unsigned short port, handler connection_handler)
    : bound{ip, port}
    , on_connection(std::move(connection_handler))
    , descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
    const int enabled = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &local.sin_addr);
    socklen_t size = sizeof local;
    if (bind(this->descriptor, reinterpret_cast<const sockaddr*>(&local), size) != 0 ||
        listen(this->descriptor, backlog) != 0 ||
        getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&local), &size) != 0) {
        ::close(this->descriptor);
        throw std::runtime_error("cannot listen on " + this->bound.str());
    }
    this->bound.port = ntohs(local.sin_port);
    this->accept_thread = std::thread([this] { this->accept_loop(); });
}

listener::~listener()
{
    this->stop();
    this->accept_thread.join();
    for (auto& one : this->sessions) {
        one.thread.join();
    }
}

void listener::stop()
{
    this->stopped = true;
    const std::lock_guard lock(this->guard);
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
    }
    for (const auto& one : this->sessions) {
        if (!one.is_over) {
            one.connection->reset_on_close();
            one.connection->interrupt();
        }
    }
}

void listener::remove_finished_sessions()
{
    for (auto position = this->sessions.begin(); position != this->sessions.end();) {
        if (position->is_over) {
            position->thread.join();
            position = this->sessions.erase(position);
        } else {
            ++position;
        }
    }
}

void listener::start_session(int connected)
{
    const int enabled = 1;
    setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    this->remove_finished_sessions();
    auto& added = this->sessions.emplace_back();
    added.connection = std::make_unique<channel>(connected);
    added.thread = std::thread([this, &added] {
        this->on_connection(*added.connection);
        const std::lock_guard lock(this->guard);
        added.connection.reset();
        added.is_over = true;
    });
}

void listener::accept_loop()
{
    while (!this->stopped) {
        pollfd waiting{-1, POLLIN, 0};
        {
            const std::lock_guard lock(this->guard);
            waiting.fd = this->descriptor;
        }
        if (poll(&waiting, 1, accept_poll_ms) != 1) {
            continue;
        }
        const std::lock_guard lock(this->guard);
        const int connected =
            this->descriptor < 0 ? -1 : accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (connected >= 0) {
            this->start_session(connected);
        }
    }
}
} // namespace buckthornhill::review
