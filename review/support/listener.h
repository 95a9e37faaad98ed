#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include "channel.h"

namespace buckthornhill::review {
//! Accepts connections and runs a handler for each in a thread of its own.
class listener
{
public:
    //! Handles one connection until it ends.
    using handler = std::function<void(channel&)>;

    //! Listens on `ip` and a free port, or on `port` if it is not 0.
    listener(const std::string& ip, unsigned short port, handler on_connection);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    const address& local() const { return this->bound; }
    bool is_stopped() const { return this->stopped; }
    //! Refuses new connections and resets the open ones; may be called from a handler.
    void stop();

private:
    struct session
    {
        std::unique_ptr<channel> connection;
        std::thread thread;
        std::atomic<bool> is_over = false;
    };

    void accept_loop();
    void start_session(int descriptor);
    void remove_finished_sessions();

    address bound;
    handler on_connection;
    int descriptor = -1;
    std::atomic<bool> stopped = false;
    std::mutex guard;
    std::list<session> sessions;
    std::thread accept_thread;
};
} // namespace buckthornhill::review
