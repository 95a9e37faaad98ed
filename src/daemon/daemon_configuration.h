#pragma once

#include <string>
#include <vector>

#include "global/log.h"
#include "http/http_types.h"
#include "node/node_types.h"
#include "store/store_types.h"

//! The process of an entry instance: listeners, outgoing requests, threads and the queues between them.
namespace buckthornhill::daemon {
struct daemon_configuration
{
    membership::member_description self; //!< the addresses are set once the listeners are open
    http::endpoint caller_listen;
    http::endpoint peer_listen;
    http::endpoint operations_listen;
    http::endpoint store;
    std::vector<http::endpoint> seed_peers;
    std::string peer_key; //!< secret shared by the entry instances; never printed
    http::server_limits caller_limits;
    http::server_limits peer_limits;
    std::chrono::milliseconds default_deadline{5000};
    std::chrono::milliseconds max_deadline{60000};
    node::node_configuration node;
    store::watcher_configuration watcher;
    log::log_configuration log;
    double availability_objective = 0.999;
    std::chrono::milliseconds latency_objective{250};
};

enum class startup_request { run, help, version, check, print_settings };

struct parsed_settings
{
    startup_request request = startup_request::run;
    daemon_configuration configuration;
    std::string text; //!< what `help` and `print_settings` print
};

//! Reads flags and environment variables `BTH_<FLAG>`; flags take precedence. Throws a `settings_error` that
//! lists every fault.
parsed_settings parse_settings(int argc, const char* const* argv);
} // namespace buckthornhill::daemon
