#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "gateway/gateway_settings.h"
#include "membership/member_table.h"

using namespace buckthornhill;
using namespace buckthornhill::gateway;
using std::chrono::milliseconds;

namespace {
//! Instances that exchange heartbeats with the settings of the gateway and, as there, with brief records
//! except for one in rotation. Messages arrive immediately or are lost.
class simulated_fleet
{
public:
    simulated_fleet(std::size_t count, std::size_t domains, double loss_rate)
        : lost_share(loss_rate)
    {
        for (std::size_t i = 0; i < count; ++i) {
            membership::member_description self;
            self.id = instance_id("n" + std::to_string(i));
            self.incarnation = incarnation_id(1);
            self.region = region_id("r" + std::to_string(i % domains % 3));
            self.domain = domain_id("d" + std::to_string(i % domains));
            self.peer_address = self.id.str() + ":1";
            this->tables.emplace_back(self, gateway_settings{}.membership, [this] { return this->random(); });
            this->descriptions.push_back(self);
        }
        for (auto& table : this->tables) {
            table.add_seeds(this->now, this->descriptions);
            table.set_state(membership::member_state::live);
        }
    }

    void run(std::chrono::seconds time)
    {
        const auto end = this->now + time;
        while (this->now < end) {
            //! The rounds of the instances are spread evenly over the interval.
            this->now += gateway_settings{}.membership.heartbeat_interval / this->tables.size();
            auto& sender = this->tables[this->turn++ % this->tables.size()];
            sender.on_tick(this->now);
            for (const auto& target : sender.pick_targets()) {
                this->exchange(sender, target);
            }
        }
    }

    //! Live members that an instance considers gone or does not know, summed over all instances.
    std::size_t missing_members() const
    {
        std::size_t count = 0;
        for (const auto& table : this->tables) {
            count += this->tables.size() - table.live_members().size();
        }
        return count;
    }

private:
    bool is_lost() { return std::uniform_real_distribution<>(0, 1)(this->random) < this->lost_share; }

    void exchange(membership::member_table& sender, const instance_id& target)
    {
        const auto found = std::ranges::find_if(
            this->tables, [&target](const auto& table) { return table.self().description.id == target; });
        if (this->is_lost()) {
            return;
        }
        found->merge(this->now, sender.next_brief_gossip());
        if (!this->is_lost()) {
            sender.merge(this->now, found->next_brief_gossip());
        }
    }

    double lost_share;
    std::mt19937_64 random{7};
    time_point now{std::chrono::hours(1)};
    std::vector<membership::member_table> tables;
    std::vector<membership::member_description> descriptions;
    std::size_t turn = 0;
};

//! Sum of the missing members over a minute, sampled each second.
std::size_t missing_members_in_a_minute(simulated_fleet& fleet)
{
    fleet.run(std::chrono::seconds(30));
    std::size_t missing_count = 0;
    for (int second = 0; second < 60; ++second) {
        fleet.run(std::chrono::seconds(1));
        missing_count += fleet.missing_members();
    }
    return missing_count;
}
} // namespace

TEST_CASE("[GIVEN] nine instances [WHEN] all of them run [THEN] each knows all others as live",
          "[gateway][pattern: heartbeats are lost]")
{
    simulated_fleet lossless(9, 6, 0);
    CHECK(missing_members_in_a_minute(lossless) == 0);
    simulated_fleet lossy(9, 6, 0.05);
    CHECK(missing_members_in_a_minute(lossy) == 0);
}

TEST_CASE("[GIVEN] more instances than a heartbeat has records [WHEN] all of them run [THEN] none is "
          "considered gone",
          "[gateway][pattern: a large fleet]")
{
    simulated_fleet lossless(91, 6, 0);
    CHECK(missing_members_in_a_minute(lossless) == 0);
    simulated_fleet lossy(72, 9, 0.02);
    CHECK(missing_members_in_a_minute(lossy) == 0);
}
