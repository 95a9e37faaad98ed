#include "child_process.h"

#include <csignal>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace buckthornhill::testing {
namespace {
constexpr int first_inherited_descriptor = 3; //!< after standard input, output and error

std::string read_line(int descriptor)
{
    std::string line;
    char character = 0;
    while (read(descriptor, &character, 1) == 1 && character != '\n') {
        line.push_back(character);
    }
    return line;
}

int exit_code_of(int status)
{
    constexpr int signal_base = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : signal_base + WTERMSIG(status);
}

std::vector<std::string> environment_with(const std::map<std::string, std::string>& added)
{
    std::vector<std::string> entries;
    for (char** item = environ; *item != nullptr; ++item) {
        entries.emplace_back(*item);
    }
    for (const auto& [name, value] : added) {
        entries.push_back(name);
        entries.back().append("=").append(value);
    }
    return entries;
}

std::vector<char*> pointers_to(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto& text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}
} // namespace

finished_process run_to_end(const std::vector<std::string>& command,
                            const std::map<std::string, std::string>& environment)
{
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe failed");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
    //! NOTE A process that inherits the listeners of stand-ins would keep their ports open after their end.
    posix_spawn_file_actions_addclosefrom_np(&actions, first_inherited_descriptor);
    auto arguments = command;
    auto variables = environment_with(environment);
    pid_t process = -1;
    posix_spawn(&process, command.front().c_str(), &actions, nullptr, pointers_to(arguments).data(),
                pointers_to(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    finished_process finished;
    char buffer[4096];
    for (auto size = read(pipe_ends[0], buffer, sizeof buffer); size > 0;
         size = read(pipe_ends[0], buffer, sizeof buffer)) {
        finished.output.append(buffer, static_cast<std::size_t>(size));
    }
    close(pipe_ends[0]);
    int status = 0;
    waitpid(process, &status, 0);
    finished.exit_code = exit_code_of(status);
    return finished;
}

child_process::child_process(const std::vector<std::string>& command,
                             const std::map<std::string, std::string>& environment,
                             const std::string& log_file, child_output output)
{
    int pipe_ends[2];
    if (pipe2(pipe_ends, O_CLOEXEC) != 0) {
        throw std::runtime_error("pipe failed");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_file.c_str(), O_CREAT | O_WRONLY | O_APPEND,
                                     0644);
    const bool is_output_logged = output == child_output::log;
    posix_spawn_file_actions_adddup2(&actions, is_output_logged ? STDERR_FILENO : pipe_ends[1],
                                     STDOUT_FILENO);
    //! NOTE A process that inherits the listeners of stand-ins would keep their ports open after their end.
    posix_spawn_file_actions_addclosefrom_np(&actions, first_inherited_descriptor);
    auto arguments = command;
    auto variables = environment_with(environment);
    const int status = posix_spawn(&this->process, command.front().c_str(), &actions, nullptr,
                                   pointers_to(arguments).data(), pointers_to(variables).data());
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    if (status != 0) {
        close(pipe_ends[0]);
        throw std::runtime_error("cannot start " + command.front());
    }
    if (!is_output_logged) {
        this->first_output_line = read_line(pipe_ends[0]);
    }
    close(pipe_ends[0]);
}

child_process::child_process(child_process&& other) noexcept
    : process(std::exchange(other.process, -1))
    , first_output_line(std::move(other.first_output_line))
{
}

child_process::~child_process()
{
    if (this->process > 0) {
        kill(this->process, SIGKILL);
        this->wait();
    }
}

void child_process::signal(int number) const
{
    if (this->process > 0) {
        kill(this->process, number);
    }
}

int child_process::wait()
{
    int status = 0;
    waitpid(this->process, &status, 0);
    this->process = -1;
    return exit_code_of(status);
}

std::optional<int> child_process::poll()
{
    int status = 0;
    if (this->process <= 0 || waitpid(this->process, &status, WNOHANG) != this->process) {
        return std::nullopt;
    }
    this->process = -1;
    return exit_code_of(status);
}

} // namespace buckthornhill::testing
