#include <list>
#include <numeric>

#include <catch2/catch.hpp>

#include "placement/upstream_picker.h"
#include "placement_fixtures.h"

using namespace buckthornhill;
using namespace buckthornhill::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
placement_choice send(upstream_picker& picker, const fleet::upstream_roster& roster, time_point now,
                      const placement_request& request)
{
    auto choice = picker.pick(now, roster, request);
    picker.on_sent(now, roster, request, choice.upstream);
    return choice;
}

//! An upstream that answers one request with `signals`.
class signalling_upstream
{
public:
    explicit signalling_upstream(const upstream_signals& signals)
    {
        this->roster.upsert(start, make_entry(0));
        const auto choice = send(this->picker, this->roster, start, request_for(1));
        this->picker.on_finished(start, request_for(1), choice, upstream_attempt_result::rejected,
                                 milliseconds(1));
        this->picker.on_signals(start, upstream_id("u0"), signals);
    }

    //! Ticks every 100 ms.
    void run_until(time_point end)
    {
        for (; this->now < end; this->now += milliseconds(100)) {
            this->picker.on_tick(this->now, this->roster);
        }
    }
    bool has_room() { return this->picker.pick(this->now, this->roster, request_for(1)).has_room; }

    static constexpr time_point start{seconds(100)};
    fleet::upstream_roster roster;
    upstream_picker picker{instance_id("i1"), here, {}};
    time_point now = start;
};
} // namespace

//! Guards against an upstream that names a limit and gets many times as much.
TEST_CASE("[GIVEN] an upstream that names a limit [WHEN] many instances send to it [THEN] together they keep "
          "to the "
          "limit, and use it",
          "[placement][pattern: an upstream in need names a limit]")
{
    constexpr double allowed_factor = 1.5;
    constexpr double allowed_slack = 5;
    constexpr std::size_t window_s = 4;
    for (const auto& [count, limit] :
         std::vector<std::pair<std::size_t, double>>{{9, 3.8}, {3, 12}, {60, 4}}) {
        fleet::upstream_roster roster;
        roster.upsert(time_point{}, make_entry(0, 50));
        std::vector<known_instance> known;
        for (std::size_t i = 0; i < count; ++i) {
            known.push_back({instance_id("i" + std::to_string(i)), here.region});
        }
        std::list<upstream_picker> pickers;
        const upstream_id upstream("u0");
        const upstream_signals limited{limit, false, {}};
        for (const auto& instance : known) {
            pickers.emplace_back(instance.id, here, placement_configuration{});
            pickers.back().set_instances(time_point{}, known);
            send(pickers.back(), roster, time_point{}, request_for(1));
            pickers.back().on_signals(time_point{}, upstream, limited);
        }
        std::vector<std::size_t> sent_in_second(60, 0);
        for (int ms = 0; ms < 60000; ms += 50) {
            const time_point now{milliseconds(ms)};
            for (auto& picker : pickers) {
                const auto choice = picker.pick(now, roster, request_for(1));
                if (choice.has_room) {
                    picker.on_sent(now, roster, request_for(1), choice.upstream);
                    picker.on_finished(now, request_for(1), choice, upstream_attempt_result::answered,
                                       milliseconds(1));
                    picker.on_signals(now, upstream, limited);
                    ++sent_in_second[static_cast<std::size_t>(ms / 1000)];
                }
            }
        }
        std::size_t total = 0;
        for (std::size_t second = 0; second + window_s <= sent_in_second.size(); ++second) {
            const auto first = sent_in_second.begin() + static_cast<std::ptrdiff_t>(second);
            const auto sent = std::accumulate(first, first + window_s, std::size_t{0});
            CHECK(static_cast<double>(sent) <= limit * window_s * allowed_factor + allowed_slack);
            total += sent_in_second[second];
        }
        CHECK(static_cast<double>(total) > 0.7 * limit * 57);
        pickers.front().on_signals(time_point{std::chrono::seconds(60)}, upstream, upstream_signals{});
        CHECK(pickers.front().pick(time_point{std::chrono::seconds(60)}, roster, request_for(1)).has_room);
    }
}

//! Guards against a pause that is forgotten while the upstream is evacuated.
TEST_CASE("[GIVEN] an upstream in a pause [WHEN] it is evacuated and back meanwhile [THEN] the pause holds "
          "to its end",
          "[placement][pattern: upstreams turn requests away]")
{
    signalling_upstream upstream({std::nullopt, false, milliseconds(8000)});
    upstream.roster.set_evacuated({here.domain});
    upstream.run_until(upstream.start + seconds(4));
    upstream.roster.set_evacuated({});
    CHECK_FALSE(upstream.has_room());
    upstream.run_until(upstream.start + milliseconds(7900));
    CHECK_FALSE(upstream.has_room());
    upstream.run_until(upstream.start + milliseconds(10100));
    CHECK(upstream.has_room());
}

//! Guards against a limit that is forgotten while the registration is missing.
TEST_CASE("[GIVEN] an upstream with a limit [WHEN] its registration is missing for some seconds [THEN] the "
          "limit holds",
          "[placement][pattern: an upstream in need names a limit]")
{
    const upstream_signals limited{0.2, false, std::nullopt};
    signalling_upstream upstream(limited);
    while (!upstream.has_room()) {
        upstream.run_until(upstream.now + milliseconds(100));
    }
    const auto choice = send(upstream.picker, upstream.roster, upstream.now, request_for(1));
    upstream.picker.on_finished(upstream.now, request_for(1), choice, upstream_attempt_result::answered,
                                milliseconds(1));
    upstream.picker.on_signals(upstream.now, upstream_id("u0"), limited);
    const auto sent_at = upstream.now;
    upstream.roster.remove(upstream.now, upstream_id("u0"));
    upstream.run_until(sent_at + seconds(3));
    upstream.roster.upsert(upstream.now, make_entry(0));
    CHECK_FALSE(upstream.has_room());
    upstream.run_until(sent_at + milliseconds(5500));
    CHECK_FALSE(upstream.has_room());
    upstream.run_until(sent_at + milliseconds(5700));
    CHECK(upstream.has_room());
}

TEST_CASE("[GIVEN] upstreams with signals that are gone for good [WHEN] a minute has passed [THEN] nothing "
          "is kept of "
          "them",
          "[placement]")
{
    signalling_upstream upstream({0.5, false, milliseconds(8000)});
    upstream.roster.remove(upstream.now, upstream_id("u0"));
    upstream.run_until(upstream.start + seconds(30));
    CHECK(upstream.picker.find_load(upstream_id("u0")) != nullptr);
    upstream.run_until(upstream.start + seconds(63));
    CHECK(upstream.picker.find_load(upstream_id("u0")) == nullptr);
}
