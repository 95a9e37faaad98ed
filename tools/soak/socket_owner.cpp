#include "socket_owner.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace buckthornhill::soak {
namespace {
struct diagnosis_request
{
    nlmsghdr header{};
    inet_diag_req_v2 socket{};
};

//! Inode of the socket; 0 when there is none.
unsigned inode_of(const http::endpoint& local, const http::endpoint& remote)
{
    const int channel = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (channel < 0) {
        return 0;
    }
    diagnosis_request request;
    request.header.nlmsg_len = sizeof request;
    request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.header.nlmsg_flags = NLM_F_REQUEST;
    request.socket.sdiag_family = AF_INET;
    request.socket.sdiag_protocol = IPPROTO_TCP;
    constexpr __u32 all_states = ~0U;
    request.socket.idiag_states = all_states;
    request.socket.id.idiag_sport = htons(local.port);
    request.socket.id.idiag_dport = htons(remote.port);
    ::inet_pton(AF_INET, local.address.c_str(), request.socket.id.idiag_src);
    ::inet_pton(AF_INET, remote.address.c_str(), request.socket.id.idiag_dst);
    request.socket.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    request.socket.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    unsigned inode = 0;
    constexpr std::size_t answer_bytes = 1024;
    alignas(nlmsghdr) std::array<char, answer_bytes> answer{};
    if (::send(channel, &request, sizeof request, 0) == static_cast<ssize_t>(sizeof request)) {
        const auto size = ::recv(channel, answer.data(), answer.size(), 0);
        nlmsghdr header{};
        inet_diag_msg message{};
        if (size >= static_cast<ssize_t>(sizeof header + sizeof message)) {
            std::memcpy(&header, answer.data(), sizeof header);
            std::memcpy(&message, answer.data() + sizeof header, sizeof message);
            inode = header.nlmsg_type == SOCK_DIAG_BY_FAMILY ? message.idiag_inode : 0;
        }
    }
    ::close(channel);
    return inode;
}

bool has_socket(pid_t process, std::string_view link_of_socket)
{
    std::error_code failure;
    const auto descriptors = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(descriptors, failure)) {
        if (std::filesystem::read_symlink(entry.path(), failure).string() == link_of_socket) {
            return true;
        }
    }
    return false;
}
} // namespace

std::optional<std::size_t> find_socket_owner(const std::vector<pid_t>& processes, const http::endpoint& local,
                                             const http::endpoint& remote)
{
    const auto inode = inode_of(local, remote);
    if (inode == 0) {
        return std::nullopt;
    }
    const auto link = "socket:[" + std::to_string(inode) + "]";
    const auto owner = std::ranges::find_if(
        processes, [&link](pid_t process) { return process != 0 && has_socket(process, link); });
    return owner == processes.end() ? std::nullopt : std::optional<std::size_t>(owner - processes.begin());
}
} // namespace buckthornhill::soak
