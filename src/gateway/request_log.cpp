#include "gateway/request_log.h"

#include "global/log.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::string_view log_part = "requests";
}

void log_completion(const gateway_flow& flow, const request_completion& completion)
{
    log::event(log_part, "answer",
               {{"request", flow.request_id},
                {"route", flow.route},
                {"outcome", completion.outcome},
                {"reason", completion.reason},
                {"status", completion.status},
                {"object", flow.object},
                {"fingerprint", flow.request_fingerprint.str()},
                {"sends", flow.attempt},
                {"account", flow.account.str()},
                {"upstream", flow.upstream.str()},
                {"took_ms", to_milliseconds(completion.elapsed)},
                {"configuration", completion.configuration.value()},
                {"upstreams_at", completion.upstreams_version.value()}});
}

void log_further_attempt(const gateway_flow& flow, const proxy::start_attempt_action& action)
{
    const auto previous = action.previous_result.value_or(placement::upstream_attempt_result::cancelled);
    log::event(log_part, "sent_again",
               {{"request", flow.request_id},
                {"send", action.attempt},
                {"upstream", action.upstream.str()},
                {"after", placement::to_string(previous)},
                {"may_run_once", action.needs_recent_connection},
                {"configuration", action.configuration.value()}});
}

void log_failed_attempt(const gateway_flow& flow, std::uint64_t attempt, const std::string& detail)
{
    log::event(log_part, "send_failed",
               {{"request", flow.request_id},
                {"fingerprint", flow.request_fingerprint.str()},
                {"send", attempt},
                {"upstream", flow.upstream.str()},
                {"detail", detail}});
}
} // namespace buckthornhill::gateway
