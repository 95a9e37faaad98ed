#pragma once

#include <fstream>
#include <sstream>
#include <string>

#include <sys/types.h>
#include <unistd.h>

namespace buckthornhill::bench {
//! Processor time that a process has used since its start, in seconds.
inline double cpu_seconds(pid_t process)
{
    constexpr int fields_before_times = 11;
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < fields_before_times; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

//! Resident memory of a process, in KiB.
inline long resident_kib(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word) {
        if (word == "VmRSS:") {
            long kib = 0;
            file >> kib;
            return kib;
        }
    }
    return 0;
}
} // namespace buckthornhill::bench
