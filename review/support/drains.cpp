#include "drains.h"

#include <algorithm>

namespace buckthornhill::review {
namespace {
constexpr std::size_t first_backend_octet = 100;
constexpr milliseconds work{440};
} // namespace

std::list<backend> start_stockyard(store& platform, arrival_book& book, std::size_t count,
                                   const std::function<void(std::size_t, backend_options&)>& adjust)
{
    std::list<backend> backends;
    for (std::size_t i = 0; i < count; ++i) {
        backend_options settings;
        settings.id = upstream_id("b-" + std::to_string(i));
        settings.service = service_id("stockyard");
        settings.domain = gateway::domain_of(i);
        settings.ip = loopback_ip(first_backend_octet + i);
        settings.work = work;
        if (adjust) {
            adjust(i, settings);
        }
        const auto& added = backends.emplace_back(settings, static_cast<unsigned short>(0), book);
        platform.put("servers", settings.id.str(), added.entry(false));
    }
    return backends;
}

std::size_t count_late_arrivals(const arrival_book& book, const departure& gone, time_point in_touch_since,
                                record& log)
{
    const auto limit = std::max(gone.acknowledged_at + bounds().drain, in_touch_since);
    std::size_t late = 0;
    time_point last{};
    for (const auto& one : book.all()) {
        if (one.backend == gone.backend && one.at > limit) {
            ++late;
            last = std::max(last, one.at);
            log.write("late arrival of " + one.request_id + " at " + gone.backend.str() + " at" +
                      log.time_text(one.at) + (one.is_answered ? "" : ", not answered"));
        }
    }
    std::string text = gone.backend.str() + " got " + std::to_string(late) +
                       " requests later than drain after the ack of its leaving";
    if (late > 0) {
        const auto after = std::chrono::duration_cast<milliseconds>(last - gone.acknowledged_at);
        text += ", the last " + std::to_string(after.count()) + " ms after it; allowed are " +
                std::to_string(bounds().drain.count()) + " ms";
    }
    log.report(text);
    return late;
}
} // namespace buckthornhill::review
