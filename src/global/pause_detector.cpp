#include "global/pause_detector.h"

#include <ctime>

namespace buckthornhill {
std::chrono::nanoseconds time_since_boot()
{
    timespec since_boot{};
    clock_gettime(CLOCK_BOOTTIME, &since_boot);
    return std::chrono::seconds(since_boot.tv_sec) + std::chrono::nanoseconds(since_boot.tv_nsec);
}
} // namespace buckthornhill
