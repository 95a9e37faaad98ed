#pragma once

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "loopback_proxy.h"

namespace buckthornhill::soak {
//! The paths between the gateways of a run: each gateway is reached by the others through a proxy, which
//! finds out who connects by the process that has the socket. Gateways that do not advertise the address of
//! their proxy are reached directly and cannot be cut off.
class peer_network
{
public:
    peer_network(boost::asio::io_context& context, std::size_t gateways);

    //! Where other gateways reach this one.
    http::endpoint address_of(std::size_t gateway) const { return this->proxies[gateway]->address(); }
    void set_process(std::size_t gateway, pid_t process) { this->processes[gateway] = process; }
    //! Gateways whose names of groups differ do not reach each other.
    void cut_between(const std::vector<std::string>& group_of_gateway) { this->groups = group_of_gateway; }
    void end_cut() { this->groups.clear(); }

private:
    std::vector<std::unique_ptr<loopback_proxy>> proxies;
    std::vector<pid_t> processes;
    std::vector<std::string> groups; //!< empty while there is no cut
};
} // namespace buckthornhill::soak
