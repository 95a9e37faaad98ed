#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace buckthornhill::testing {
struct finished_process
{
    int exit_code = 0;
    std::string output; //!< standard output and standard error
};

//! Runs a program and waits for it to exit.
finished_process run_to_end(const std::vector<std::string>& command,
                            const std::map<std::string, std::string>& environment);

enum class child_output {
    first_line, //!< reads the first line of standard output and drops the rest; standard error is logged
    log         //!< standard output and standard error go to the log file
};

//! A process started by a test. It is killed with SIGKILL when the object is destroyed.
class child_process
{
public:
    //! Starts `command` with the environment of this process plus `environment`.
    child_process(const std::vector<std::string>& command,
                  const std::map<std::string, std::string>& environment, const std::string& log_file,
                  child_output output = child_output::first_line);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    const std::string& first_line() const { return this->first_output_line; }
    pid_t pid() const { return this->process; }
    void signal(int number) const;
    //! Waits for the process to exit; returns its exit code, or 128 plus the signal number if a signal ended
    //! it.
    int wait();
    //! Like `wait()`, but does not block; returns nothing while the process runs.
    std::optional<int> poll();

private:
    pid_t process = -1;
    std::string first_output_line;
};
} // namespace buckthornhill::testing
