#include "peer_network.h"

#include "gateway_process.h"
#include "socket_owner.h"

namespace buckthornhill::soak {
peer_network::peer_network(boost::asio::io_context& context, std::size_t gateways)
    : processes(gateways, 0)
{
    for (std::size_t i = 0; i < gateways; ++i) {
        const http::endpoint target{loopback_address_of(i), gateway_process::peers_port};
        this->proxies.push_back(std::make_unique<loopback_proxy>(context, target));
        this->proxies.back()->on_client([this, i](const http::endpoint& address) {
            return [this, i, address, client = std::optional<std::size_t>(), is_known = false]() mutable {
                if (this->groups.empty()) {
                    return false;
                }
                if (!std::exchange(is_known, true)) {
                    client = find_socket_owner(this->processes, address, this->address_of(i));
                }
                return client && this->groups[i] != this->groups[*client];
            };
        });
    }
}
} // namespace buckthornhill::soak
