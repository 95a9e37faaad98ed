#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "deployment.h"

namespace buckthornhill::review {
//! Calls of callers on the route /release/, whose requests may run once at most. They go to the gateways in
//! turn.
class release_load
{
public:
    struct counts
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        std::size_t refused = 0;
        std::size_t failed = 0; //!< the caller can't know whether its request has run
    };

    static constexpr const char* path_prefix = "/release/";

    release_load(std::vector<address> gateways, record& log);
    //! Starts sending; one call in `pace` from each of `threads` threads.
    void start(std::size_t threads, milliseconds pace);
    void stop() { this->senders.reset(); }
    counts totals() const;
    //! Name of the request with this number; it begins with the number of its gateway.
    std::string id_of(std::size_t number) const;
    void report() const;

private:
    void send(std::size_t number);

    std::vector<address> gateways;
    record& log;
    std::atomic<std::size_t> sent = 0;
    std::atomic<std::size_t> served = 0;
    std::atomic<std::size_t> refused = 0;
    std::atomic<std::size_t> failed = 0;
    std::unique_ptr<paced_threads> senders;
};
} // namespace buckthornhill::review
