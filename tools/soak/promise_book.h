#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "global/units.h"

namespace buckthornhill::soak {
enum class answer_kind {
    whole,   //!< made by an upstream for this request
    spoilt,  //!< a success that is not
    refused, //!< a promise that the request has not run and never will
    unknown, //!< a failure that promises nothing
    broken   //!< the connection ended without an answer
};

//! Bounds of the users' pages that the soak holds the system to.
struct promise_bounds
{
    std::chrono::milliseconds drain{2000}; //!< from a registration that says leaving to the last request
    std::chrono::milliseconds configuration{2000}; //!< from its acknowledgement until it is in force
    std::chrono::milliseconds calm{4000};          //!< without trouble, before the bounds above count
    std::chrono::milliseconds stop{7000};          //!< the grace of a planned stop and a second
    double recovered_share = 0.9;                  //!< of the requests once all trouble is over
};

//! What callers, upstreams and the operator saw of a run, and which promises that breaks. No sockets, no
//! clock.
class promise_book
{
public:
    explicit promise_book(const promise_bounds& bounds)
        : bounds(bounds)
    {
    }

    void on_sent(time_point at, const std::string& request, const std::string& gateway, bool may_repeat);
    void on_answer(time_point at, const std::string& request, answer_kind kind);
    void on_run(time_point at, const std::string& request, const std::string& upstream,
                const std::string& service);
    //! Something unplanned was wrong from `from` to `until`.
    void on_trouble(time_point from, time_point until);
    void on_planned_stop(time_point at, const std::string& gateway);
    void on_leaving(time_point at, const std::string& upstream);
    //! A configuration that sends `moving_prefix` to `service` was acknowledged.
    void on_configuration(time_point at, const std::string& service) { this->configurations[at] = service; }
    //! All trouble ended at `at`, and everything had time to recover.
    void on_recovered(time_point at) { this->recovered_at = at; }
    //! Something that is wrong in itself.
    void on_fault(std::string text) { this->faults.push_back(std::move(text)); }

    //! One line for each broken promise.
    std::vector<std::string> violations() const;
    std::size_t request_count() const { return this->requests.size(); }
    std::size_t count(answer_kind kind) const;

    static constexpr const char* moving_prefix = "/moving/";

private:
    struct run
    {
        time_point at;
        std::string upstream;
        std::string service;
    };
    struct request_record
    {
        time_point sent_at;
        std::string gateway;
        bool may_repeat = false;
        bool is_answered = false;
        answer_kind answer = answer_kind::unknown;
        time_point answered_at{};
        std::vector<run> runs;
    };

    bool is_calm(time_point from, time_point until) const;
    std::string fault_in(const std::string& id, const request_record& request) const;
    std::string fault_in_run(const std::string& id, const request_record& request, const run& run) const;
    bool is_stopping(const request_record& request) const;

    promise_bounds bounds;
    std::map<std::string, request_record> requests;
    std::vector<std::pair<time_point, time_point>> troubles;
    std::multimap<std::string, time_point> stops;
    std::map<std::string, time_point> leaving;
    std::map<time_point, std::string> configurations;
    std::vector<std::string> faults;
    time_point recovered_at = time_point::max();
};
} // namespace buckthornhill::soak
