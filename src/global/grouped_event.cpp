#include "global/grouped_event.h"

#include <utility>

#include "global/log.h"

namespace buckthornhill::log {
grouped_event::grouped_event(std::string log_part, std::string event_name)
    : part(std::move(log_part))
    , name(std::move(event_name))
{
}

grouped_event::~grouped_event()
{
    if (this->count > 0) {
        this->first["count"] = this->count;
        event(this->part, this->name, std::move(this->first));
    }
}

void grouped_event::add(boost::json::object facts)
{
    if (this->count++ == 0) {
        this->first = std::move(facts);
    }
}
} // namespace buckthornhill::log
