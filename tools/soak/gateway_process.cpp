#include "gateway_process.h"

#include <csignal>
#include <fstream>

namespace buckthornhill::soak {
gateway_process::gateway_process(std::string program_path, std::string work_directory, gateway_place where,
                                 const http::endpoint& store, const std::string& settings)
    : program(std::move(program_path))
    , directory(std::move(work_directory))
    , place(std::move(where))
{
    const auto listen = [this](const std::string& name, unsigned short port) {
        return name + " = " + this->place.address + ":" + std::to_string(port) + "\n";
    };
    this->text = "instance = " + this->place.instance + "\ndomain = " + this->place.domain + "\n" +
                 listen("callers", callers_port) + listen("readiness", readiness_port) +
                 listen("lookups", 7003) + listen("peers", peers_port) + listen("operations", 7005) +
                 "store = " + store.str() + "\n" + settings;
    this->touch_settings();
}

void gateway_process::touch_settings()
{
    std::ofstream(this->directory + "/" + this->place.instance + ".conf")
        << this->text << "# " << ++this->version << "\n";
}

void gateway_process::start()
{
    const auto base = this->directory + "/" + this->place.instance;
    this->was_asked_to_stop = false;
    this->process = std::make_unique<testing::child_process>(
        std::vector<std::string>{this->program, "--settings", base + ".conf"},
        std::map<std::string, std::string>{}, base + ".log", testing::child_output::log);
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

void gateway_process::ask_to_stop()
{
    this->was_asked_to_stop = true;
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
