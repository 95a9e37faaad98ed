#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace buckthornhill::soak {
enum class fault_kind {
    kill,            //!< one gateway, with SIGKILL
    kill_all,        //!< all gateways at once
    kill_in_series,  //!< gateways one after the other, some again before they are ready
    pause,           //!< one gateway
    pause_many,      //!< a third of the gateways
    stop,            //!< a planned stop of one gateway
    reload,          //!< of all settings files
    store_path,      //!< between one gateway and the store
    store,           //!< of the store itself
    cut_instances,   //!< gateways of different regions lose sight of each other and keep the store
    upstream_path,   //!< between the gateways and one upstream
    spoil_responses, //!< of a third of the upstreams: bytes that belong to no request follow some of them
    lose_responses,  //!< of a third of the upstreams: some requests are executed and not answered
    slow_upstreams,  //!< a third of the upstreams take several times as long and leave some requests
                     //!< unanswered
    crash,           //!< one upstream ends
    crash_many,      //!< a third of the upstreams of a service end
    turn_away,       //!< an upstream wants no requests for a time
    limit,           //!< an upstream names a limit of requests
    leave,           //!< an upstream leaves and is replaced
    reuse_address,   //!< two upstreams end, and others take over their addresses
    fail_service,    //!< all upstreams of a service fail many requests
    impatient_callers,
    leaving_callers,
    crashing_request, //!< a request that ends the upstreams that run it is sent again and again
    configuration,    //!< a new configuration
    restore_store     //!< the store comes back from a copy; the duration is the copy's age
};
std::string to_string(fault_kind kind);

struct scheduled_fault
{
    std::chrono::milliseconds at{0}; //!< since the start of the load
    fault_kind kind = fault_kind::kill;
    std::size_t target = 0;    //!< number of the gateway, upstream or service
    std::uint64_t variant = 0; //!< random number for further choices
    std::chrono::milliseconds duration{0};

    std::string str() const;
};

struct schedule_options
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{10000};
    std::size_t gateways = 9;
    std::size_t upstreams = 9;
    std::size_t services = 3;
    bool restores_store = false; //!< draws restores of the store as well, beside the other faults
};

//! Draws all faults and planned operations of a run. Depends on the options alone, so that different builds
//! get the same trouble. Faults that last for tens of seconds come in runs that are long enough for them.
std::vector<scheduled_fault> draw_schedule(const schedule_options& options);
} // namespace buckthornhill::soak
