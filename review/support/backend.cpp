#include "backend.h"

#include <algorithm>
#include <thread>

namespace buckthornhill::review {
namespace json = boost::json;

namespace {
constexpr std::chrono::seconds idle_timeout{10};
constexpr milliseconds additional_bytes_delay{100}; //!< after the answer that they follow
constexpr std::string_view status_path = "/healthz";
constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;

time_point now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t wall_clock_ms()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wall).count());
}

//! The rejection as `fleetbench wire` prints it; it names no request.
message additional_response()
{
    message response;
    response.status = status_unavailable;
    response.headers = {{"Not-Executed", "1"}};
    return response;
}
} // namespace

std::size_t arrival_book::add(const arrival& added)
{
    const std::lock_guard lock(this->guard);
    this->arrivals.push_back(added);
    return this->arrivals.size() - 1;
}

void arrival_book::set_run(std::size_t index)
{
    const std::lock_guard lock(this->guard);
    this->arrivals[index].has_run = true;
}

void arrival_book::set_answered(std::size_t index)
{
    const std::lock_guard lock(this->guard);
    this->arrivals[index].is_answered = true;
}

std::vector<arrival> arrival_book::all() const
{
    const std::lock_guard lock(this->guard);
    return this->arrivals;
}

backend::backend(const backend_options& options, unsigned short port, arrival_book& arrivals)
    : settings(options)
    , book(arrivals)
    , born_ms(wall_clock_ms())
{
    this->server = std::make_unique<listener>(settings.ip, port,
                                              [this](channel& connection) { this->serve(connection); });
}

backend::~backend()
{
    this->stop();
    this->server.reset();
}

json::value backend::entry(bool is_leaving) const
{
    const std::lock_guard lock(this->guard);
    return json::object{{"address", this->local().str()},
                        {"born", this->born_ms},
                        {"info",
                         {{"service_ref", this->settings.service.str()},
                          {"config_version", "v1"},
                          {"zone", this->settings.domain.str()},
                          {"capacity", this->settings.slots}}},
                        {"status",
                         {{"phase", is_leaving ? "draining" : "ready"},
                          {"sequence", 1},
                          {"cold_left", std::to_string(this->cold_left().count()) + "ms"}}}};
}

milliseconds backend::cold_left() const
{
    return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(this->cold_until - now()));
}

void backend::turn_cold(milliseconds duration)
{
    const std::lock_guard lock(this->guard);
    this->cold_until = now() + duration;
}

void backend::answer_status_check(message& response)
{
    const std::lock_guard lock(this->guard);
    response.status = status_ok;
    response.headers = {{"Instance-Id", this->settings.id.str()},
                        {"Backend-Load", std::to_string(this->running) + "," + std::to_string(this->waiting) +
                                             "," + std::to_string(this->settings.slots)},
                        {"Cold-Remaining", std::to_string(this->cold_left().count()) + "ms"}};
}

void backend::stop()
{
    {
        const std::lock_guard lock(this->guard);
        this->is_stopped = true;
    }
    this->changed.notify_all();
    this->server->stop();
}

void backend::serve(channel& connection)
{
    message request;
    time_point bytes_due_at{}; //!< unset when none are due
    for (;;) {
        const bool are_bytes_due = bytes_due_at != time_point{};
        const auto status =
            connection.read_request(request, are_bytes_due ? bytes_due_at : now() + idle_timeout);
        if (are_bytes_due && (status == read_status::complete || status == read_status::timed_out)) {
            std::this_thread::sleep_until(bytes_due_at);
            bytes_due_at = {};
            if (!connection.write_response(additional_response())) {
                return;
            }
            if (status == read_status::timed_out) {
                continue;
            }
        }
        message response;
        if (status != read_status::complete) {
            return;
        }
        if (!this->handle(request, response)) {
            connection.reset_on_close();
            return;
        }
        if (!connection.write_response(response)) {
            return;
        }
        if (this->settings.has_additional_bytes && this->settings.has_additional_bytes()) {
            bytes_due_at = now() + additional_bytes_delay;
        }
        request = message{};
    }
}

void backend::reject(const message& request, unsigned status, message& response) const
{
    response.status = status;
    response.headers = {{"Request-Id", request.header("Request-Id")},
                        {"Not-Executed", "1"},
                        {"Instance-Id", this->settings.id.str()}};
}

bool backend::handle(const message& request, message& response)
{
    if (request.path() == status_path) {
        this->answer_status_check(response);
        return true;
    }
    const auto expected = request.header("Expected-Instance");
    if (!expected.empty() && expected != this->settings.id.str()) {
        this->reject(request, status_misdirected, response);
        return true;
    }
    const auto index = this->book.add({request.header("Request-Id"), request.target, this->settings.id,
                                       this->settings.service, now(), false, false});
    const auto time_left = request.header("Request-Deadline");
    const auto deadline = now() + milliseconds(time_left.empty() ? 5000 : std::stoi(time_left));
    {
        std::unique_lock lock(this->guard);
        if (this->running >= this->settings.slots && this->waiting >= this->settings.queue) {
            this->reject(request, status_unavailable, response);
            return true;
        }
        ++this->waiting;
        const bool has_slot = this->changed.wait_until(
            lock, deadline, [this] { return this->is_stopped || this->running < this->settings.slots; });
        --this->waiting;
        if (this->is_stopped) {
            return false;
        }
        if (!has_slot) {
            this->reject(request, status_unavailable, response);
            return true;
        }
        ++this->running;
    }
    const bool is_done = this->run(request, index, response);
    {
        const std::lock_guard lock(this->guard);
        --this->running;
    }
    this->changed.notify_all();
    return is_done;
}

bool backend::run(const message& request, std::size_t index, message& response)
{
    this->book.set_run(index);
    std::unique_lock lock(this->guard);
    const auto work = this->settings.work * (this->cold_left().count() > 0 ? 2 : 1);
    if (this->changed.wait_for(lock, work, [this] { return this->is_stopped; })) {
        return false;
    }
    response.status = status_ok;
    response.headers = {{"Request-Id", request.header("Request-Id")},
                        {"Response-Signature", this->settings.id.str() + "." + request.header("Request-Id")},
                        {"Backend-Load", std::to_string(this->running) + "," + std::to_string(this->waiting) +
                                             "," + std::to_string(this->settings.slots)}};
    response.body = request.method + " " + request.target + " " + request.header("Request-Id");
    this->book.set_answered(index);
    return true;
}
} // namespace buckthornhill::review
