#pragma once

#include <string_view>

//! Header names and paths of the protocols towards callers, peers and upstreams.
namespace buckthornhill::daemon::headers {
// From and to callers. Other `Bth-` headers of a caller are removed before its request is forwarded.
inline constexpr std::string_view customer = "Bth-Customer";
inline constexpr std::string_view region = "Bth-Region";
inline constexpr std::string_view ticket = "Bth-Ticket";
inline constexpr std::string_view deadline_ms = "Bth-Deadline-Ms";
inline constexpr std::string_view outcome = "Bth-Outcome";
inline constexpr std::string_view reason = "Bth-Reason";
inline constexpr std::string_view retry_after_ms = "Bth-Retry-After-Ms";
inline constexpr std::string_view tickets = "Bth-Tickets"; //!< `<incarnation>.<first>+<count>`

// Between entry instances.
inline constexpr std::string_view peer_key = "Bth-Peer-Key";
inline constexpr std::string_view kind = "Bth-Kind";
inline constexpr std::string_view from = "Bth-From";
inline constexpr std::string_view from_region = "Bth-From-Region";
inline constexpr std::string_view request_class = "Bth-Class";
inline constexpr std::string_view owner_report = "Bth-Owner-Report"; //!< JSON

// From and to upstreams.
inline constexpr std::string_view upstream_deadline_ms = "Upstream-Deadline-Ms";
inline constexpr std::string_view upstream_load = "Upstream-Load"; //!< requests in progress
inline constexpr std::string_view upstream_shed = "Upstream-Shed";
inline constexpr std::string_view upstream_draining = "Upstream-Draining";
inline constexpr std::string_view request_id = "Request-Id";
} // namespace buckthornhill::daemon::headers

namespace buckthornhill::daemon::paths {
inline constexpr std::string_view lookup = "/.buckthornhill/lookup";
inline constexpr std::string_view heartbeat = "/.peer/heartbeat";
inline constexpr std::string_view document = "/.peer/document";
inline constexpr std::string_view handover = "/.peer/handover";
inline constexpr std::string_view upstream_health = "/.health";
} // namespace buckthornhill::daemon::paths
