#pragma once

#include <functional>
#include <map>
#include <string>

#include "global/ids.h"
#include "global/units.h"
#include "http/http_types.h"

namespace boost::asio {
class io_context;
}
namespace buckthornhill::fleet {
class upstream_roster;
}

namespace buckthornhill::gateway {
//! Finds out whether an upstream whose connection was lost has ended. A reset, a cut or a pause ends
//! connections too, so it takes more: connects are refused, or another run answers or registers at the
//! address.
class upstream_end_detector
{
public:
    //! `evidence` says why the upstream counts as ended; it is empty when it does not. A run that was found
    //! alive may be reported again as ended.
    using result_hook =
        std::function<void(const upstream_run& run, bool has_ended, const std::string& evidence)>;

    upstream_end_detector(boost::asio::io_context& context, std::chrono::milliseconds connect_timeout,
                          result_hook on_result);

    void on_connection_lost(time_point now, const upstream_run& run, const http::endpoint& address);
    //! A request for this run was answered by another one.
    void on_misdirected(const upstream_run& run);
    //! Looks for new runs at the addresses of those that lost connections lately.
    void on_registrations_changed(time_point now, const fleet::upstream_roster& roster);

private:
    struct lost_contact
    {
        http::endpoint address;
        time_point lost_at;
        bool is_probing = false;
    };

    void report_end(const upstream_run& run, const std::string& evidence);
    void remove_old(time_point now);

    boost::asio::io_context& context;
    std::chrono::milliseconds connect_timeout;
    result_hook on_result;
    std::map<upstream_run, lost_contact> contacts;
};
} // namespace buckthornhill::gateway
