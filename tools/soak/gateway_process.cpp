#include "gateway_process.h"

#include <csignal>
#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace buckthornhill::soak {
namespace {
constexpr std::uint64_t octet_value_count = 250;
constexpr std::size_t first_host = 10;
} // namespace

std::string loopback_address_of(std::size_t gateway)
{
    const auto process = static_cast<std::uint64_t>(getpid());
    return "127." + std::to_string(1 + process % octet_value_count) + "." +
           std::to_string(1 + process / octet_value_count % octet_value_count) + "." +
           std::to_string(first_host + gateway);
}

gateway_process::gateway_process(std::string program_path, std::string work_directory,
                                 gateway_identity gateway, const http::endpoint& store,
                                 const std::string& settings)
    : program(std::move(program_path))
    , directory(std::move(work_directory))
    , identity(std::move(gateway))
{
    const auto listen = [this](const std::string& name, unsigned short port) {
        return name + " = " + this->identity.address + ":" + std::to_string(port) + "\n";
    };
    this->settings_text = "instance = " + this->identity.instance + "\ndomain = " + this->identity.domain +
                          "\n" + listen("callers", callers_port) + listen("readiness", readiness_port) +
                          listen("lookups", 7003) + listen("peers", peers_port) + listen("operations", 7005) +
                          "store = " + store.str() + "\n" + settings;
    this->rewrite_settings();
}

void gateway_process::rewrite_settings()
{
    //! NOTE A gateway may read the file at any moment, so it is replaced as a whole.
    const auto path = this->directory + "/" + this->identity.instance + ".conf";
    const auto written = path + ".new";
    std::ofstream(written) << this->settings_text << "# " << ++this->settings_version << "\n";
    std::filesystem::rename(written, path);
}

void gateway_process::start()
{
    const auto path_prefix = this->directory + "/" + this->identity.instance;
    this->is_stop_requested = false;
    this->process = std::make_unique<testing::child_process>(
        std::vector<std::string>{this->program, "--settings", path_prefix + ".conf"},
        std::map<std::string, std::string>{}, path_prefix + ".log", testing::child_output::log);
}

void gateway_process::kill()
{
    this->process.reset();
}

void gateway_process::signal(int number) const
{
    if (this->process != nullptr) {
        this->process->signal(number);
    }
}

void gateway_process::request_stop()
{
    this->is_stop_requested = true;
    this->signal(SIGTERM);
}

bool gateway_process::has_ended(std::optional<int>& exit_code)
{
    if (this->process == nullptr) {
        return true;
    }
    exit_code = this->process->poll();
    if (!exit_code) {
        return false;
    }
    this->process.reset();
    return true;
}
} // namespace buckthornhill::soak
