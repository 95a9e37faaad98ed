#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "delayed_calls.h"
#include "deployment.h"
#include "loopback_proxy.h"
#include "platform_messages.h"
#include "run_record.h"

namespace buckthornhill::soak {
//! The upstreams of a run, each behind a proxy, in numbered places. An upstream that ends or leaves is
//! replaced in its place by one with another id.
class upstream_fleet
{
public:
    struct hooks
    {
        //! Requests that end the upstream that runs them.
        std::function<bool(const http::http_request&)> is_crashing;
        //! How long an upstream works on a request.
        std::function<std::chrono::milliseconds(const http::http_request&)> work_of;
    };

    upstream_fleet(boost::asio::io_context& context, delayed_calls& calls, const deployment& description,
                   platform::standins::platform_store& store, run_record& record, hooks callbacks);

    //! Places of upstreams.
    std::size_t size() const { return this->places.size(); }
    std::size_t service_count() const { return this->description.services.size(); }
    //! Upstreams that start from now on are cold for a time.
    void become_steady() { this->is_steady = true; }

    void set_path(std::size_t place, proxy_mode mode, std::chrono::milliseconds time);
    //! Bytes that belong to no request follow some responses of a third of the upstreams.
    void spoil_responses(std::size_t place, std::uint64_t seed, std::chrono::milliseconds time);
    //! A third of the upstreams execute some requests and send no response.
    void lose_responses(std::size_t place, std::chrono::milliseconds time);
    //! A third of the upstreams take longer for each request that they begin, and leave some without a
    //! response.
    void slow_down(std::size_t place, std::chrono::milliseconds time);
    void crash(std::size_t place);
    //! Ends a third of the upstreams of a service at once.
    void crash_many(std::size_t service);
    void turn_away(std::size_t place, std::chrono::milliseconds time);
    void name_limit(std::size_t place, double requests_per_second, std::chrono::milliseconds time);
    //! Drains the upstream if its service can spare it; if not, the next one that can be spared.
    void leave(std::size_t place, bool tells_store);
    //! Two upstreams of different services end, and the replacements take over each other's addresses.
    void exchange_addresses(std::size_t place);
    void fail_service(std::size_t service, platform::standins::request_failure how, unsigned per_hundred,
                      std::chrono::milliseconds time);
    //! The store was restored from a copy: running upstreams write their registrations again, and those of
    //! others expire.
    void register_again();
    void end_faults();

    //! What reached the upstreams so far.
    const std::vector<platform::standins::upstream_run>& runs() const { return this->all_runs; }
    std::uint64_t spoiled_responses() const;

private:
    struct placed_upstream
    {
        std::unique_ptr<platform::standins::platform_upstream> upstream;
        std::shared_ptr<loopback_proxy> proxy;
        std::size_t place = 0;
        bool is_leaving = false;
        bool has_told_store = false; //!< its registration says that it leaves
        bool has_ended = false;
        std::optional<time_point> limited_since; //!< its responses name `limit`
        double limit = 0;
    };
    struct place_description
    {
        std::size_t service = 0;
        std::size_t domain = 0;
        std::string current; //!< id of the upstream; empty while none runs
    };

    //! Starts an upstream in this place, behind `proxy` or a new one.
    void start(std::size_t place, std::shared_ptr<loopback_proxy> proxy = nullptr);
    //! Null when it was removed.
    placed_upstream* find(const std::string& id);
    placed_upstream* at(std::size_t place) { return this->find(this->places[place].current); }
    //! Every third upstream, beginning with `place`.
    std::vector<placed_upstream*> third_from(std::size_t place);
    void end(placed_upstream& upstream);
    void remove(const std::string& id);
    void end_limit(placed_upstream& limited);
    //! All upstreams of the service are warm and stay.
    bool can_spare(std::size_t service);

    boost::asio::io_context& context;
    delayed_calls& calls;
    const deployment& description;
    platform::standins::platform_store& store;
    run_record& record;
    hooks callbacks;
    std::vector<platform::standins::upstream_run> all_runs;
    std::vector<place_description> places;
    std::list<placed_upstream> upstreams;
    std::uint64_t last_upstream = 0;
    std::uint64_t spoiled_by_removed = 0;
    bool is_steady = false;
};
} // namespace buckthornhill::soak
