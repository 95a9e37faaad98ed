#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "ids.h"
#include "listener.h"

namespace buckthornhill::review {
//! One request at a backend.
struct arrival
{
    std::string request_id;
    std::string target;
    upstream_id backend;
    service_id service;
    time_point at;
    bool has_run = false; //!< the backend began to work on it
    bool is_answered = false;
};

//! All arrivals at all backends.
class arrival_book
{
public:
    std::size_t add(const arrival& added);
    void set_run(std::size_t index);
    void set_answered(std::size_t index);
    std::vector<arrival> all() const;

private:
    mutable std::mutex guard;
    std::vector<arrival> arrivals;
};

struct backend_options
{
    upstream_id id;
    service_id service;
    domain_id domain;
    std::string ip = "127.0.0.1";
    unsigned slots = 3;
    unsigned queue = 9;
    milliseconds work{300};
    //! Asked after each answer: whether additional bytes follow it, a tenth of a second later.
    std::function<bool()> has_additional_bytes;
};

//! One boot of a stand-in backend: runs `slots` requests at a time, queues a few and rejects the rest.
class backend
{
public:
    backend(const backend_options& settings, unsigned short port, arrival_book& book);
    ~backend();
    backend(const backend&) = delete;
    backend& operator=(const backend&) = delete;

    const upstream_id& id() const { return this->settings.id; }
    const address& local() const { return this->server->local(); }
    //! Its entry in the store.
    boost::json::value entry(bool is_leaving) const;
    //! Ends at once: open channels are reset and new ones refused.
    void stop();
    //! From now on it is cold for this time: work takes twice as long.
    void turn_cold(milliseconds duration);

private:
    void serve(channel& connection);
    //! False when the backend ended before the answer.
    bool handle(const message& request, message& response);
    bool run(const message& request, std::size_t index, message& response);
    void reject(const message& request, unsigned status, message& response) const;
    void answer_status_check(message& response);
    milliseconds cold_left() const;

    backend_options settings;
    arrival_book& book;
    std::uint64_t born_ms;
    mutable std::mutex guard;
    std::condition_variable changed;
    unsigned running = 0;
    unsigned waiting = 0;
    time_point cold_until{};
    bool is_stopped = false;
    std::unique_ptr<listener> server;
};
} // namespace buckthornhill::review
