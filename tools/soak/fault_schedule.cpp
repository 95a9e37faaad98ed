#include "fault_schedule.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace buckthornhill::soak {
using std::chrono::milliseconds;

namespace {
//! What a kind of fault is drawn from. The target is one of so many.
enum class target_kind { none, gateway, upstream, service };

struct fault_description
{
    fault_kind kind;
    const char* name;
    target_kind target;
    unsigned weight; //!< how often it is drawn among those of its group
    milliseconds min_duration;
    milliseconds max_duration;
};

constexpr milliseconds none{0};
constexpr std::array faults{
    fault_description{fault_kind::kill, "kill", target_kind::gateway, 4, none, none},
    fault_description{fault_kind::kill_all, "kill-all", target_kind::none, 2, none, none},
    fault_description{fault_kind::kill_in_series, "kill-in-series", target_kind::gateway, 2, none, none},
    fault_description{fault_kind::pause, "pause", target_kind::gateway, 4, milliseconds(200),
                      milliseconds(2500)},
    fault_description{fault_kind::pause_many, "pause-many", target_kind::gateway, 1, milliseconds(500),
                      milliseconds(5000)},
    fault_description{fault_kind::store_path, "store-path", target_kind::gateway, 8, milliseconds(300),
                      milliseconds(3000)},
    fault_description{fault_kind::store, "store", target_kind::none, 8, milliseconds(300),
                      milliseconds(2500)},
    fault_description{fault_kind::upstream_path, "upstream-path", target_kind::upstream, 8, milliseconds(200),
                      milliseconds(3000)},
    fault_description{fault_kind::spoil_responses, "spoil-responses", target_kind::upstream, 8,
                      milliseconds(2000), milliseconds(6000)},
    fault_description{fault_kind::lose_responses, "lose-responses", target_kind::upstream, 4,
                      milliseconds(2000), milliseconds(6000)},
    fault_description{fault_kind::slow_upstreams, "slow-upstreams", target_kind::upstream, 4,
                      milliseconds(2000), milliseconds(6000)},
    fault_description{fault_kind::crash, "crash", target_kind::upstream, 4, none, none},
    fault_description{fault_kind::crash_many, "crash-many", target_kind::service, 2, none, none},
    fault_description{fault_kind::turn_away, "turn-away", target_kind::upstream, 3, milliseconds(800),
                      milliseconds(4000)},
    fault_description{fault_kind::reuse_address, "reuse-address", target_kind::upstream, 3, none, none},
    fault_description{fault_kind::impatient_callers, "impatient-callers", target_kind::none, 2,
                      milliseconds(2000), milliseconds(6000)},
    fault_description{fault_kind::leaving_callers, "leaving-callers", target_kind::none, 2,
                      milliseconds(2000), milliseconds(6000)},
    fault_description{fault_kind::crashing_request, "crashing-request", target_kind::none, 6, none, none},
};
constexpr std::array planned_operations{
    fault_description{fault_kind::configuration, "configuration", target_kind::none, 1, none, none},
    fault_description{fault_kind::leave, "leave", target_kind::upstream, 1, none, none},
    fault_description{fault_kind::limit, "limit", target_kind::upstream, 1, milliseconds(9000),
                      milliseconds(9000)},
    fault_description{fault_kind::reload, "reload", target_kind::none, 1, none, none},
    fault_description{fault_kind::stop, "stop", target_kind::gateway, 1, none, none},
};
constexpr std::array long_faults{
    fault_description{fault_kind::fail_service, "fail-service", target_kind::service, 2, milliseconds(6000),
                      milliseconds(20000)},
    fault_description{fault_kind::cut_instances, "cut-instances", target_kind::none, 1, milliseconds(25000),
                      milliseconds(60000)},
};
constexpr std::array store_restores{
    fault_description{fault_kind::restore_store, "restore-store", target_kind::none, 1, milliseconds(500),
                      milliseconds(5000)},
};
constexpr milliseconds min_restore_pause{4000};
constexpr milliseconds max_restore_pause{12000};
//! Runs shorter than this have no long faults.
constexpr milliseconds min_length_for_long_faults{30000};
constexpr milliseconds long_fault_interval{40000};
constexpr milliseconds min_pause{150};
constexpr milliseconds max_pause{900};
//! One pause in four is long enough to check the guarantees that apply only in fault-free times.
constexpr milliseconds long_pause{5500};
constexpr std::uint64_t long_pause_period = 4;
constexpr milliseconds min_operation_pause{300};
constexpr milliseconds max_operation_pause{2500};

class schedule_drawer
{
public:
    explicit schedule_drawer(const schedule_options& options)
        : options(options)
        , random(options.seed)
    {
    }

    std::vector<scheduled_fault> run()
    {
        this->fill(faults, [this] {
            return this->draw(long_pause_period) == 0 ? long_pause : this->duration(min_pause, max_pause);
        });
        this->fill(planned_operations,
                   [this] { return this->duration(min_operation_pause, max_operation_pause); });
        if (this->options.length >= min_length_for_long_faults) {
            this->fill(long_faults,
                       [this] { return this->duration(long_fault_interval / 4, long_fault_interval); });
        }
        //! NOTE Drawn last, so that a seed has the same other faults with and without them.
        if (this->options.restores_store) {
            this->fill(store_restores,
                       [this] { return this->duration(min_restore_pause, max_restore_pause); });
        }
        std::ranges::stable_sort(this->schedule, {}, &scheduled_fault::at);
        return std::move(this->schedule);
    }

private:
    template <typename Group, typename Pause>
    void fill(const Group& group, Pause pause)
    {
        for (milliseconds at = pause(); at < this->options.length; at += pause()) {
            this->add(at, group);
        }
    }

    template <typename Group>
    void add(milliseconds at, const Group& group)
    {
        std::uint64_t weights = 0;
        for (const auto& one : group) {
            weights += one.weight;
        }
        auto drawn = this->draw(weights);
        const auto* chosen = group.data();
        while (drawn >= chosen->weight) {
            drawn -= chosen->weight;
            ++chosen;
        }
        const auto target = this->draw(this->target_count(chosen->target));
        const auto length = this->duration(chosen->min_duration, chosen->max_duration);
        this->schedule.push_back({at, chosen->kind, target, this->random(), length});
    }

    std::uint64_t target_count(target_kind kind) const
    {
        switch (kind) {
        case target_kind::gateway:
            return this->options.gateways;
        case target_kind::upstream:
            return this->options.upstreams;
        case target_kind::service:
            return this->options.services;
        case target_kind::none:
            break;
        }
        return 1;
    }

    std::uint64_t draw(std::uint64_t bound) { return this->random() % bound; }

    milliseconds duration(milliseconds min, milliseconds max)
    {
        return min + milliseconds(this->draw(static_cast<std::uint64_t>((max - min).count()) + 1));
    }

    schedule_options options;
    std::mt19937_64 random;
    std::vector<scheduled_fault> schedule;
};

template <typename Group>
const char* find_name(const Group& group, fault_kind kind)
{
    const auto found = std::ranges::find(group, kind, &fault_description::kind);
    return found == group.end() ? nullptr : found->name;
}
} // namespace

std::string to_string(fault_kind kind)
{
    for (const auto* name : {find_name(faults, kind), find_name(planned_operations, kind),
                             find_name(long_faults, kind), find_name(store_restores, kind)}) {
        if (name != nullptr) {
            return name;
        }
    }
    return "unknown";
}

std::string scheduled_fault::str() const
{
    constexpr double ms_per_s = 1000;
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f s  ", static_cast<double>(this->at.count()) / ms_per_s);
    return time.data() + to_string(this->kind) + " target " + std::to_string(this->target) + " for " +
           std::to_string(this->duration.count()) + " ms, variant " + std::to_string(this->variant);
}

std::vector<scheduled_fault> draw_schedule(const schedule_options& options)
{
    return schedule_drawer(options).run();
}
} // namespace buckthornhill::soak
