#pragma once

#include <set>
#include <string>

#include "store/collection_types.h"

namespace buckthornhill::store {
//! Where a list that comes in pages goes on. Notices a page that leads nowhere new, which would be asked for
//! without end.
class list_cursor
{
public:
    enum class step {
        finished, //!< it was the last page
        next_page,
        stuck //!< there are more entries, and no page brings them
    };

    //! To be called with each page in turn.
    step advance(const list_page& page);
    //! Name behind which the next page starts; empty for the first one.
    const std::string& after() const { return this->place; }
    bool is_at_start() const { return this->place.empty(); }
    void reset() { *this = {}; }

private:
    std::string place;
    std::set<std::string> visited; //!< a store may have an order of its own, so names are not compared
};
} // namespace buckthornhill::store
