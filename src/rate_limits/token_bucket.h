#pragma once

#include <cstdint>
#include <deque>

#include "global/units.h"
#include "rate_limits/rate_limits_types.h"

namespace buckthornhill::rate_limits {
//! Token bucket that starts empty. Tokens that come back count as if they had never been lent: the bucket
//! gets back only those that would not have overflowed it meanwhile. Without this, tokens that circulate
//! unused while the bucket fills up again would come on top of the burst.
class token_bucket
{
public:
    //! Names a loan for `give_back`.
    using loan_number = std::uint64_t;

    token_bucket(time_point now, double tokens_per_second, double size)
        : rate(tokens_per_second)
        , size(size)
        , updated_at(now)
    {
    }

    //! Changes the rate and the size at once. Tokens that were lent before no longer come back.
    void set_limit(time_point now, double tokens_per_second, double new_size);
    double level(time_point now);
    //! Takes `tokens`, which must not exceed the level.
    loan_number lend(time_point now, std::int64_t tokens);
    void give_back(time_point now, loan_number loan, std::int64_t tokens);
    //! Forgets the loans that were made before `oldest`; their tokens no longer come back.
    void forget_loans_before(time_point oldest);
    //! How long until the bucket has `tokens`, at the earliest.
    duration time_until(time_point now, double tokens);

private:
    struct loan_record
    {
        loan_number number = 0;
        time_point lent_at;
        double room_before = 0; //!< in the bucket just before the loan, when it was as full as it became
    };

    double rate;
    double size;
    double filled = 0;
    time_point updated_at;
    loan_number last_loan = 0;
    std::deque<loan_record> loans; //!< by number
};
} // namespace buckthornhill::rate_limits
