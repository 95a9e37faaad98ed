#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace buckthornhill::operators {
//! Collects from the logs of several processes the lines about one request, and the state changes of its
//! upstreams and of its dependencies at about the same time.
class request_history
{
public:
    explicit request_history(std::string request)
        : request(std::move(request))
    {
    }

    //! Reads the log of one process; `source` is the name shown for it. Skips text before the JSON of a line,
    //! and lines without JSON. Call it for every log, then call `select_lines`.
    void read_log(const std::string& source, std::istream& log);
    //! Selects the relevant lines and sorts them by time.
    void select_lines();

    bool is_found() const { return !this->request_lines.empty(); }
    //! The selected lines, followed by an explanation of the outcome; only the lines, as JSON, when
    //! `is_json`.
    std::string text(bool is_json) const;

private:
    struct log_line
    {
        std::int64_t time_ms = 0;
        std::string source;
        std::string part;
        std::string event;
        std::string upstream;
        std::string fingerprint; //!< of the request's content; other lines may name several
        std::string json;
    };

    bool is_relevant(const log_line& candidate) const;
    std::string conclusion() const;

    std::string request;
    std::vector<log_line> request_lines; //!< lines that name the request
    std::vector<log_line> context_lines; //!< state changes of upstreams and dependencies
    std::vector<log_line> selected_lines;
};
} // namespace buckthornhill::operators
