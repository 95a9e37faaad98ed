#include "deployment.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include "global/json_reader.h"
#include "http/blocking_call.h"

namespace buckthornhill::testing {
namespace json = boost::json;

namespace {
constexpr std::chrono::seconds call_timeout{10};
constexpr std::chrono::milliseconds poll_interval{20};
constexpr std::chrono::seconds ready_timeout{20};

std::string program_path(const std::string& name)
{
    return std::string(BINARY_DIR) + "/" + name;
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string string_field(const std::string& document, const std::string& key)
{
    const auto value = parse_json(document, "line");
    return json_reader(value, "line").text(key);
}
} // namespace

deployment::deployment(const deployment_options& settings)
    : deployment_text(read_file(settings.file))
    , options(settings)
{
    char pattern[] = "/tmp/bth-deployment-XXXXXX";
    this->directory = mkdtemp(pattern);
    this->store =
        std::make_unique<child_process>(std::vector<std::string>{program_path("bth-store-standin")},
                                        std::map<std::string, std::string>{}, this->directory + "/store.log");
    this->store_endpoint = string_field(this->store->first_line(), "address");
    this->upstreams = std::make_unique<child_process>(
        std::vector<std::string>{program_path("bth-upstreams-standin"), settings.file,
                                 std::to_string(settings.service_us), std::to_string(settings.cold_us)},
        std::map<std::string, std::string>{}, this->directory + "/upstreams.log");
    const auto value = parse_json(this->upstreams->first_line(), "upstreams");
    this->upstreams_control = json_reader(value, "upstreams").text("control");
    this->upstreams_json = json::serialize(value.at("upstreams"));
    if (settings.starts_with_store_down) {
        this->set_store_faults(R"({"down":true})");
    }
    const auto file = parse_json(this->deployment_text, "deployment");
    const json_reader reader(file, "deployment");
    std::vector<std::string> flags;
    for (const auto& member : file.at("settings").as_object()) {
        flags.push_back("--" + std::string(member.key()) + "=" + std::string(member.value().as_string()));
    }
    const auto domains = reader.array("domains").size();
    for (std::int64_t i = 0; i < reader.integer("instances"); ++i) {
        const auto domain = reader.element("domains", static_cast<std::size_t>(i) % domains);
        this->start_daemon("entry-" + std::to_string(i), domain.text("region"), domain.text("name"), flags);
    }
}

deployment::~deployment()
{
    this->instances.clear();
    this->upstreams.reset();
    this->store.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->directory, ignored);
}

daemon_instance& deployment::start_daemon(const std::string& id, const std::string& region,
                                          const std::string& domain, const std::vector<std::string>& flags)
{
    std::vector<std::string> command{program_path("buckthornhilld"), "--id=" + id, "--region=" + region,
                                     "--domain=" + domain, "--store=" + this->store_endpoint};
    command.insert(command.end(), flags.begin(), flags.end());
    command.insert(command.end(), this->options.daemon_flags.begin(), this->options.daemon_flags.end());
    daemon_instance instance;
    instance.id = id;
    instance.region = region;
    instance.domain = domain;
    instance.process = std::make_unique<child_process>(
        command, std::map<std::string, std::string>{{"BTH_PEER_KEY", "test-key"}},
        this->directory + "/" + id + ".log");
    instance.ready_line = instance.process->first_line();
    if (instance.ready_line.empty()) {
        throw std::runtime_error("daemon " + id +
                                 " did not start: " + read_file(this->directory + "/" + id + ".log"));
    }
    instance.caller_address = string_field(instance.ready_line, "caller_address");
    instance.peer_address = string_field(instance.ready_line, "peer_address");
    instance.operations_address = string_field(instance.ready_line, "operations_address");
    this->instances.push_back(std::move(instance));
    return this->instances.back();
}

void deployment::register_instances()
{
    std::string entries;
    for (const auto& instance : this->instances) {
        entries += (entries.empty() ? "" : ",") + instance.ready_line;
    }
    this->call(this->store_endpoint, "PUT", "/control/instances",
               "{\"entries\":[" + entries + "],\"upstreams\":" + this->upstreams_json + "}");
}

unsigned deployment::put_document(const std::string& name, const std::string& body)
{
    const auto current = this->call(this->store_endpoint, "GET", "/v1/objects/" + name);
    const auto version = std::string(http::find_header(current.headers, "X-Version"));
    return this->call(this->store_endpoint, "PUT", "/v1/objects/" + name, body, {{"If-Match", version}})
        .status;
}

finished_process deployment::run_tool(const std::vector<std::string>& arguments)
{
    std::vector<std::string> command{program_path("buckthornhillctl")};
    command.insert(command.end(), arguments.begin(), arguments.end());
    return run_to_end(command, {{"BTH_STORE", this->store_endpoint}, {"BTH_BY", "test"}});
}

std::string deployment::write_file(const std::string& name, const std::string& text)
{
    auto path = this->directory + "/" + name;
    std::ofstream(path) << text;
    return path;
}

void deployment::set_store_faults(const std::string& faults)
{
    this->call(this->store_endpoint, "POST", "/control/faults", faults);
}

http::http_response deployment::call(const std::string& address, const std::string& method,
                                     const std::string& target, const std::string& body,
                                     const http::header_list& headers)
{
    const auto result =
        http::call_and_wait(http::parse_endpoint(address), {method, target, headers, body}, call_timeout);
    http::http_response response = result.response;
    response.status = result.status == http::call_status::complete ? response.status : 0;
    return response;
}

http::http_response deployment::call_upstreams(const std::string& method, const std::string& target)
{
    return this->call(this->upstreams_control, method, target);
}

std::string deployment::status_of(const daemon_instance& instance)
{
    return this->call(instance.operations_address, "GET", "/status").body;
}

bool deployment::wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout)
{
    boost::asio::io_context context;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition()) {
            return true;
        }
        boost::asio::steady_timer(context, poll_interval).wait();
    }
    return condition();
}

bool deployment::wait_until_ready()
{
    return this->wait_until(
        [this] {
            for (const auto& instance : this->instances) {
                if (!instance.process) {
                    continue;
                }
                const auto status = parse_json(this->status_of(instance), "status");
                std::size_t live = status.at("state").as_string() == "live" ? 1 : 0;
                for (const auto& member : status.at("members").as_array()) {
                    live += member.at("state").as_string() == "live" ? 1 : 0;
                }
                std::size_t running = 0;
                for (const auto& other : this->instances) {
                    running += other.process ? 1 : 0;
                }
                if (live != running || status.at("is_resynchronizing").as_bool()) {
                    return false;
                }
            }
            return true;
        },
        ready_timeout);
}

std::map<std::string, int> deployment::execution_log()
{
    const auto value = parse_json(this->call_upstreams("GET", "/control/log").body, "log");
    std::map<std::string, int> runs;
    for (const auto& member : value.as_object()) {
        runs[std::string(member.key())] = static_cast<int>(member.value().as_int64());
    }
    return runs;
}

std::vector<std::string> deployment::caller_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& instance : this->instances) {
        addresses.push_back(instance.caller_address);
    }
    return addresses;
}

load::load_plan deployment::make_plan(double per_second, std::chrono::milliseconds length) const
{
    load::load_plan plan;
    plan.bootstrap = this->caller_addresses();
    plan.length = length;
    const auto value = parse_json(this->deployment_text, "deployment");
    std::vector<std::string> regions;
    for (const auto& domain : value.at("domains").as_array()) {
        const std::string region(domain.at("region").as_string());
        if (std::find(regions.begin(), regions.end(), region) == regions.end()) {
            regions.push_back(region);
        }
    }
    for (const auto& service : value.at("services").as_array()) {
        for (const auto& region : regions) {
            load::load_stream stream;
            stream.service = service_id(std::string(service.at("name").as_string()));
            stream.method = std::string(service.at("method").as_string());
            stream.region = region_id(region);
            stream.operations_per_second = per_second;
            plan.streams.push_back(stream);
        }
    }
    return plan;
}

load::load_report
deployment::run_load(const load::load_plan& plan,
                     const std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>>& events,
                     const load::caller_session::result_hook& hook)
{
    boost::asio::io_context context;
    load::load_generator generator(context, plan, hook);
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers;
    for (const auto& [at, action] : events) {
        timers.push_back(std::make_unique<boost::asio::steady_timer>(context, at));
        timers.back()->async_wait([action = action](const boost::system::error_code& failure) {
            if (!failure) {
                action();
            }
        });
    }
    generator.start([&context] { context.stop(); });
    context.run();
    return generator.report();
}
} // namespace buckthornhill::testing
