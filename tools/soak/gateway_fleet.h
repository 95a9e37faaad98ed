#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "deployment.h"
#include "gateway_process.h"
#include "loopback_proxy.h"
#include "peer_network.h"
#include "run_record.h"

namespace buckthornhill::soak {
//! The gateways of a run as processes, each with its own path to the store. Processes that end are started
//! again, and ends that nothing explains are violations.
class gateway_fleet
{
public:
    //! Where and how the gateways run.
    struct options
    {
        std::string program;
        std::string directory; //!< for settings files and logs
        std::size_t count = 0;
        http::endpoint store;
    };

    gateway_fleet(boost::asio::io_context& context, delayed_calls& calls, const deployment& description,
                  const options& how, run_record& record);

    std::size_t size() const { return this->gateways.size(); }
    const gateway_process& at(std::size_t gateway) const { return *this->gateways[gateway]; }
    bool takes_requests(std::size_t gateway) const;

    void kill(std::size_t gateway);
    void kill_all();
    //! Kills gateways one after the other, beginning with this one, some again before they are ready.
    void kill_in_series(std::size_t first);
    void pause(std::size_t gateway, std::chrono::milliseconds time);
    void pause_many(std::size_t first, std::chrono::milliseconds time);
    void stop(std::size_t gateway);
    void reload_all();
    void set_store_path(std::size_t gateway, proxy_mode mode, std::chrono::milliseconds time);
    //! Gateways of different regions lose sight of each other, and keep the store and their callers.
    void cut_regions(std::chrono::milliseconds time);
    //! Cuts one gateway off from the store and from the other gateways; its callers still reach it.
    void isolate(std::size_t gateway, std::chrono::milliseconds time);
    void end_faults();
    void start_watching();

private:
    void start(std::size_t gateway);
    void restart(std::size_t gateway);
    void check_processes();

    delayed_calls& calls;
    const deployment& description;
    run_record& record;
    std::unique_ptr<peer_network> peers;
    std::vector<std::unique_ptr<loopback_proxy>> store_paths; //!< one for each gateway
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::map<std::size_t, time_point> down_since; //!< from a kill or the start of a stop
};
} // namespace buckthornhill::soak
