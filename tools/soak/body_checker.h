#pragma once

#include <map>
#include <string>
#include <vector>

#include "global/fingerprint.h"

namespace buckthornhill::soak {
//! Compares the bodies that upstreams run with those that callers sent. No fault excuses a difference. Uses
//! neither sockets nor a clock.
class body_checker
{
public:
    void on_sent(const std::string& request, const fingerprint& digest) { this->sent[request] = digest; }
    //! Only for requests that the upstream ran.
    void on_execution(const std::string& request, const std::string& upstream, const fingerprint& digest)
    {
        const auto found = this->sent.find(request);
        if (found != this->sent.end() && found->second != digest) {
            this->differences.push_back("bodies: " + upstream + " ran " + request + " with another body");
        }
    }
    const std::vector<std::string>& violations() const { return this->differences; }

private:
    std::map<std::string, fingerprint> sent;
    std::vector<std::string> differences;
};
} // namespace buckthornhill::soak
