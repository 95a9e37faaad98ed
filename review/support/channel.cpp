#include "channel.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthornhill::review {
namespace {
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";

bool is_same_name(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string text_of(const message& sent, const std::string& start_line)
{
    std::string text = start_line + "\r\n";
    for (const auto& [name, value] : sent.headers) {
        text.append(name).append(": ").append(value).append(line_end);
    }
    text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n";
    return text + sent.body;
}

int remaining_ms(time_point deadline)
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now()).count();
    return static_cast<int>(std::max<std::int64_t>(0, left));
}
} // namespace

std::string message::header(std::string_view name) const
{
    for (const auto& [key, value] : this->headers) {
        if (is_same_name(key, name)) {
            return value;
        }
    }
    return {};
}

std::string message::query(const std::string& key) const
{
    auto position = this->target.find('?');
    while (position != std::string::npos) {
        const auto end = this->target.find('&', position + 1);
        const auto pair = this->target.substr(position + 1, end - position - 1);
        if (pair.starts_with(key + "=")) {
            return pair.substr(key.size() + 1);
        }
        position = end;
    }
    return {};
}

channel::~channel()
{
    if (this->descriptor < 0) {
        return;
    }
    if (this->is_reset_on_close) {
        const linger at_once{1, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    ::close(this->descriptor);
}

int channel::open(const address& server, milliseconds timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(server.port);
    inet_pton(AF_INET, server.ip.c_str(), &target.sin_addr);
    (void)::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
    pollfd waiting{descriptor, POLLOUT, 0};
    int failure = -1;
    socklen_t size = sizeof failure;
    if (poll(&waiting, 1, static_cast<int>(timeout.count())) == 1) {
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0) {
        ::close(descriptor);
        return -1;
    }
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return descriptor;
}

void channel::interrupt() const
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

bool channel::write(const std::string& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size > 0) {
            sent += static_cast<std::size_t>(size);
            continue;
        }
        pollfd waiting{this->descriptor, POLLOUT, 0};
        if (size == 0 || (errno != EAGAIN && errno != EINTR) || poll(&waiting, 1, 1000) != 1) {
            return false;
        }
    }
    return true;
}

bool channel::write_request(const message& request)
{
    return this->write(text_of(request, request.method + " " + request.target + " HTTP/1.1"));
}

bool channel::write_response(const message& response)
{
    return this->write(text_of(response, "HTTP/1.1 " + std::to_string(response.status) + " Status"));
}

read_status channel::read_more(time_point deadline)
{
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (poll(&waiting, 1, remaining_ms(deadline)) != 1) {
        return read_status::timed_out;
    }
    std::array<char, 16384> bytes{};
    const auto size = recv(this->descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (size > 0) {
        this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
        return read_status::complete;
    }
    return size == 0 ? read_status::closed : read_status::broken;
}

void channel::parse_headers(const std::string& head, message& received, std::string& start_line) const
{
    auto begin = head.find(line_end);
    start_line = head.substr(0, begin);
    while (begin != std::string::npos) {
        begin += line_end.size();
        const auto end = head.find(line_end, begin);
        const auto line = head.substr(begin, end == std::string::npos ? end : end - begin);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            received.headers.emplace_back(line.substr(0, colon),
                                          value == std::string::npos ? std::string() : line.substr(value));
        }
        begin = end;
    }
}

read_status channel::read_message(message& received, std::string& start_line, time_point deadline)
{
    auto end = this->buffer.find(head_end);
    while (end == std::string::npos) {
        const auto status = this->read_more(deadline);
        if (status != read_status::complete) {
            return status == read_status::closed && !this->buffer.empty() ? read_status::broken : status;
        }
        end = this->buffer.find(head_end);
    }
    this->parse_headers(this->buffer.substr(0, end), received, start_line);
    const auto length_text = received.header("Content-Length");
    const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
    const auto body = end + head_end.size();
    while (this->buffer.size() < body + length) {
        const auto status = this->read_more(deadline);
        if (status != read_status::complete) {
            return status == read_status::closed ? read_status::broken : status;
        }
    }
    received.body = this->buffer.substr(body, length);
    this->buffer.erase(0, body + length);
    return read_status::complete;
}

read_status channel::read_request(message& request, time_point deadline)
{
    std::string start_line;
    const auto status = this->read_message(request, start_line, deadline);
    const auto first = start_line.find(' ');
    const auto second = start_line.find(' ', first + 1);
    if (status == read_status::complete && second != std::string::npos) {
        request.method = start_line.substr(0, first);
        request.target = start_line.substr(first + 1, second - first - 1);
    }
    return status;
}

read_status channel::read_response(message& response, time_point deadline)
{
    std::string start_line;
    const auto status = this->read_message(response, start_line, deadline);
    const auto first = start_line.find(' ');
    if (status == read_status::complete && first != std::string::npos) {
        response.status = static_cast<unsigned>(std::stoul(start_line.substr(first + 1)));
    }
    return status;
}
} // namespace buckthornhill::review
