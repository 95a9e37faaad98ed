#include "gateway/answer_log.h"

#include "global/log.h"

namespace buckthornhill::gateway {
namespace {
constexpr std::string_view log_part = "requests";
}

void log_answer(const gateway_flow& flow, const answer_facts& facts)
{
    log::event(log_part, "answer",
               {{"request", flow.request_id},
                {"route", flow.route},
                {"outcome", facts.outcome},
                {"reason", facts.reason},
                {"status", facts.status},
                {"object", flow.object},
                {"sends", flow.send},
                {"upstream", flow.upstream.str()},
                {"took_ms", to_milliseconds(facts.took)},
                {"configuration", facts.configuration.value()},
                {"upstreams_at", facts.upstreams_at.value()}});
}

void log_failed_send(const gateway_flow& flow, std::uint64_t send, const std::string& detail)
{
    log::event(log_part, "send_failed",
               {{"request", flow.request_id},
                {"send", send},
                {"upstream", flow.upstream.str()},
                {"detail", detail}});
}
} // namespace buckthornhill::gateway
