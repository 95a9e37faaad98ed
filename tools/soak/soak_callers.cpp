#include <array>

#include "soak_run.h"

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds time_left{2000};  //!< that a caller says it waits
constexpr milliseconds patience{2400};   //!< that it does wait
constexpr milliseconds caller_pause{25}; //!< between two requests of one caller
constexpr int most_requests_there = 40;  //!< at one gateway before the caller looks for another

answer_kind kind_of(const http::http_request& request, const http::call_result& result)
{
    if (result.status != http::call_status::complete) {
        return result.status == http::call_status::broken ? answer_kind::broken : answer_kind::unknown;
    }
    const auto answer = read_caller_response(request, result.response);
    if (answer.is_success) {
        return answer.is_authentic ? answer_kind::whole : answer_kind::spoilt;
    }
    return answer.guarantees_not_executed ? answer_kind::refused : answer_kind::unknown;
}
} // namespace

//! Callers learn from look-ups which gateways serve; a caller of one that stops stays until the connection
//! ends.
void soak_run::move_caller(caller& who)
{
    who.left_there = 1 + static_cast<int>(this->draw(most_requests_there));
    for (std::size_t tries = 0; tries < this->gateways.size(); ++tries) {
        who.gateway = this->draw(this->gateways.size());
        const auto& gateway = *this->gateways[who.gateway];
        if (gateway.is_running() && !gateway.is_stopping()) {
            return;
        }
    }
}

void soak_run::call(std::size_t number)
{
    if (this->is_ending) {
        return;
    }
    auto& who = this->callers[number];
    if (--who.left_there < 0 || !this->gateways[who.gateway]->is_running()) {
        this->move_caller(who);
    }
    static constexpr std::array paths{"/steady/", "/once/", promise_book::moving_prefix, "/other/"};
    const std::string path = paths[this->draw(paths.size())];
    const bool may_repeat = path == "/steady/" || path == "/other/";
    const auto id = std::to_string(++this->last_request) + path;
    auto request =
        make_request(may_repeat ? "GET" : "POST", path + std::to_string(this->draw(20)), id, time_left);
    const auto& gateway = *this->gateways[who.gateway];
    const auto at = std::chrono::steady_clock::now();
    this->book.on_sent(at, id, gateway.name(), may_repeat);
    const auto target = gateway.callers();
    who.client->send(target, request, at + patience, http::connection_choice::reuse,
                     [this, number, request, id](const http::call_result& result) {
                         this->on_answer(number, request, id, result);
                     });
}

void soak_run::on_answer(std::size_t number, const http::http_request& request, const std::string& id,
                         const http::call_result& result)
{
    const auto kind = kind_of(request, result);
    this->book.on_answer(std::chrono::steady_clock::now(), id, kind);
    if (kind == answer_kind::broken || kind == answer_kind::unknown) {
        this->callers[number].left_there = 0;
    }
    this->after(caller_pause, [this, number] { this->call(number); });
}
} // namespace buckthornhill::soak
