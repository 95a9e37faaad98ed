#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace buckthornhill::operators {
//! What the logs of several processes say of one request, and what happened around it to the upstreams and
//! dependencies that it met.
class request_history
{
public:
    explicit request_history(std::string request)
        : request(std::move(request))
    {
    }

    //! Reads one process's log; `source` names it. Text before a line's JSON, and lines without any, are
    //! skipped. Call it for all logs, then `finish`.
    void read_log(const std::string& source, std::istream& log);
    //! Keeps the lines that matter, in the order of their time.
    void select_lines();

    bool is_found() const { return !this->request_lines.empty(); }
    //! The lines and, last, what the answer's outcome means. As JSON lines when `is_json`.
    std::string text(bool is_json) const;

private:
    struct log_line
    {
        std::int64_t time_ms = 0;
        std::string source;
        std::string part;
        std::string event;
        std::string upstream;
        std::string json;
    };

    bool is_relevant(const log_line& candidate) const;
    std::string conclusion() const;

    std::string request;
    std::vector<log_line> request_lines; //!< lines that name the request
    std::vector<log_line> context_lines; //!< changes of belief and dependencies
    std::vector<log_line> selected_lines;
};
} // namespace buckthornhill::operators
