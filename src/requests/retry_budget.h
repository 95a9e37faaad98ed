#pragma once

#include <algorithm>

namespace buckthornhill::requests {
//! Limits retries to a fraction of first attempts, so that retries cannot sustain an overload.
class retry_budget
{
public:
    retry_budget(double ratio, double burst)
        : ratio(ratio)
        , burst(burst)
        , tokens(burst)
    {
    }

    void on_first_attempt() { this->tokens = std::min(this->burst, this->tokens + this->ratio); }

    bool try_spend()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double ratio;
    double burst;
    double tokens;
};
} // namespace buckthornhill::requests
