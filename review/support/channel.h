#pragma once

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "record.h"

namespace buckthornhill::review {
//! Loopback address and port.
struct address
{
    std::string ip;
    unsigned short port = 0;

    std::string str() const { return this->ip + ":" + std::to_string(this->port); }
};

//! An HTTP/1.1 request or response.
struct message
{
    std::string method; //!< of a request
    std::string target; //!< of a request
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(std::string_view name) const;
    std::string path() const { return this->target.substr(0, this->target.find('?')); }
    std::string query(const std::string& key) const;
};

enum class read_status { complete, closed, broken, timed_out };

//! A TCP connection with blocking reads and writes of whole HTTP messages.
class channel
{
public:
    explicit channel(int connected_descriptor)
        : descriptor(connected_descriptor)
    {
    }
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    //! Null descriptor inside (`is_open()` is false) when the connect fails.
    static int open(const address& server, milliseconds timeout);
    bool is_open() const { return this->descriptor >= 0; }

    bool write_request(const message& request);
    bool write_response(const message& response);
    read_status read_request(message& request, time_point deadline);
    read_status read_response(message& response, time_point deadline);
    //! The destructor then resets the connection instead of closing it in order.
    void reset_on_close() { this->is_reset_on_close = true; }
    //! Ends blocking calls of the thread that uses the connection; may be called from any thread.
    void interrupt() const;

private:
    bool write(const std::string& bytes) const;
    read_status read_message(message& received, std::string& start_line, time_point deadline);
    read_status read_more(time_point deadline);
    void parse_headers(const std::string& head, message& received, std::string& start_line) const;

    int descriptor;
    std::atomic<bool> is_reset_on_close = false;
    std::string buffer;
};
} // namespace buckthornhill::review
