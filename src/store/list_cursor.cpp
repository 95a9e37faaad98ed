#include "store/list_cursor.h"

namespace buckthornhill::store {
list_cursor::step list_cursor::advance(const list_page& page)
{
    if (!page.has_more) {
        return step::finished;
    }
    if (page.continues_after.empty() || !this->visited.insert(page.continues_after).second) {
        return step::stuck;
    }
    this->place = page.continues_after;
    return step::next_page;
}
} // namespace buckthornhill::store
