#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

#include "single_gateway.h"

using namespace buckthornhill;
using namespace buckthornhill::soak;
using namespace buckthornhill::platform::standins;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {
namespace asio = boost::asio;
constexpr auto as_result_tuple = asio::as_tuple(asio::use_awaitable);

//! A stand-in for an upstream that answers each request with `head`, and then with `more` until the caller
//! closes. It runs on a thread of its own, so that it takes no time from the other stand-ins.
class endless_upstream
{
public:
    endless_upstream(std::string head_bytes, std::string more_bytes)
        : head(std::move(head_bytes))
        , more(std::move(more_bytes))
        , acceptor(this->context, {asio::ip::address_v4::loopback(), 0})
        , thread([this] {
            asio::co_spawn(this->context, this->accept(), asio::detached);
            this->context.run();
        })
    {
    }
    ~endless_upstream()
    {
        this->context.stop();
        this->thread.join();
    }
    endless_upstream(const endless_upstream&) = delete;
    endless_upstream& operator=(const endless_upstream&) = delete;

    http::endpoint address() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [failure, socket] = co_await this->acceptor.async_accept(as_result_tuple);
            if (!failure) {
                asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", as_result_tuple);
        auto [failure, size] = co_await asio::async_write(socket, asio::buffer(this->head), as_result_tuple);
        while (!failure) {
            std::tie(failure, size) =
                co_await asio::async_write(socket, asio::buffer(this->more), as_result_tuple);
        }
    }

    asio::io_context context;
    std::string head;
    std::string more;
    tcp::acceptor acceptor;
    std::thread thread;
};

//! The most memory that the process has had.
std::size_t peak_memory_bytes(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

struct endless_kind
{
    const char* name;
    std::string head;
    std::string more;
};

std::vector<endless_kind> endless_kinds()
{
    const std::string block(64UL * 1024, 'x');
    std::string tiny_chunks;
    for (int i = 0; i < 10000; ++i) {
        tiny_chunks += "1\r\nx\r\n";
    }
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    return {{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", block},
            {"chunks", chunked, "10000\r\n" + block + "\r\n"},
            {"tiny chunks", chunked, tiny_chunks},
            {"a line of the head", "HTTP/1.1 200 OK\r\nA: ", block}};
}

//! A gateway of bounded memory, upstreams that send without end and a sound one.
class flooded_gateway
{
public:
    explicit flooded_gateway(const endless_kind& kind)
        : deployment("endless-responses", {{"/sound/", "sound", true}, {"/endless/", "endless", true}},
                     "max-descriptors = 2870\nmax-memory-mb = " + std::to_string(memory_mb) + "\n")
        , endless(kind.head, kind.more)
        , sound(this->deployment.context, sound_traits(), this->runs)
        , client(this->deployment.context, http::client_limits{})
        , timer(this->deployment.context)
    {
        for (int i = 0; i < endless_registrations; ++i) {
            put_registration(this->deployment.store, {"e" + std::to_string(i), "endless", "north-a",
                                                      this->endless.address(), 1, endless_slots});
        }
        put_upstream(this->deployment.store, this->sound, this->sound.address(), false);
        this->deployment.start();
    }

    ~flooded_gateway()
    {
        this->is_over = true;
        this->client.close();
    }
    flooded_gateway(const flooded_gateway&) = delete;
    flooded_gateway& operator=(const flooded_gateway&) = delete;

    //! Many callers ask for responses without end, while others ask for sound ones.
    void run_for(milliseconds time)
    {
        for (int i = 0; i < endless_callers; ++i) {
            this->ask_for_endless();
        }
        this->ask_for_sound();
        this->deployment.run_for(time);
        this->is_sending = false;
        this->deployment.run_for(patience);
    }

    pid_t pid() const { return this->deployment.pid(); }

    static constexpr std::size_t memory_mb = 112;
    int sent = 0; //!< requests for sound responses
    int served = 0;

private:
    static constexpr int endless_callers = 800;
    static constexpr int endless_registrations = 9;
    static constexpr unsigned endless_slots = 500;
    static constexpr milliseconds patience{2000};
    static constexpr milliseconds pause_after_failure{200};
    static constexpr milliseconds sound_interval{5};

    static upstream_traits sound_traits()
    {
        upstream_traits traits;
        traits.id = "s";
        traits.service = "sound";
        traits.domain = "north-a";
        traits.slots = 100;
        return traits;
    }

    void ask_for_endless()
    {
        this->send("/endless/", "e" + std::to_string(++this->last_id), [this](const http::call_result&) {
            const auto pause =
                std::make_shared<asio::steady_timer>(this->deployment.context, pause_after_failure);
            pause->async_wait([this, pause](const boost::system::error_code&) {
                if (!this->is_over) {
                    this->ask_for_endless();
                }
            });
        });
    }

    void ask_for_sound()
    {
        this->send("/sound/", "s" + std::to_string(++this->sent), [this](const http::call_result& result) {
            const bool is_served =
                result.status == http::call_status::complete && result.response.status == 200;
            this->served += is_served ? 1 : 0;
        });
        this->timer.expires_after(sound_interval);
        this->timer.async_wait([this](const boost::system::error_code& failure) {
            if (!failure && this->is_sending) {
                this->ask_for_sound();
            }
        });
    }

    void send(const std::string& path, const std::string& id, http::call_handler handler)
    {
        this->client.send(this->deployment.caller_endpoint(), make_request("GET", path + id, id, patience),
                          std::chrono::steady_clock::now() + patience, http::connection_choice::reuse,
                          std::move(handler));
    }

    single_gateway deployment;
    endless_upstream endless;
    std::vector<upstream_run> runs;
    platform_upstream sound;
    http::http_client client;
    asio::steady_timer timer;
    std::uint64_t last_id = 0;
    bool is_sending = true; //!< requests for sound responses
    bool is_over = false;
};
} // namespace

//! Guards against upstreams that send without end and exhaust the memory of an instance, which then ends with
//! the requests of all its callers.
TEST_CASE("[GIVEN] many callers of upstreams that send without end [WHEN] others call a sound one [THEN] the "
          "instance stays within its memory and serves them",
          "[endless responses]")
{
    const auto kind = GENERATE(from_range(endless_kinds()));
    INFO(kind.name);
    flooded_gateway flooded(kind);
    flooded.run_for(milliseconds(3000));
    CHECK(peak_memory_bytes(flooded.pid()) <= flooded_gateway::memory_mb * 1024 * 1024);
    CHECK(flooded.sent > 100);
    CHECK(flooded.served == flooded.sent);
}

//! Guards against a store that sends without end and exhausts the memory of all instances.
TEST_CASE(
    "[GIVEN] a store that sends without end [WHEN] an instance calls it [THEN] the instance stays within its "
    "memory and goes on",
    "[endless responses]")
{
    const auto kind = GENERATE(from_range(endless_kinds()));
    INFO(kind.name);
    const endless_upstream store(kind.head, kind.more);
    const auto directory =
        std::filesystem::temp_directory_path() / ("bth-endless-store-" + std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    gateway_process gateway(BINARY_DIR "/buckthornhill-gateway", directory,
                            {"g0", "north-a", loopback_address_of(0)}, store.address(),
                            "region-of-domain = north-a=north\nmax-memory-mb = " +
                                std::to_string(flooded_gateway::memory_mb) + "\n");
    gateway.start();
    asio::io_context context;
    asio::steady_timer(context, milliseconds(2000)).wait();
    std::optional<int> exit_code;
    REQUIRE_FALSE(gateway.has_ended(exit_code));
    CHECK(peak_memory_bytes(gateway.pid()) <= flooded_gateway::memory_mb * 1024 * 1024);
}
