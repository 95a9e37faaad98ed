#include "global/random_source.h"

#include <memory>
#include <random>

namespace buckthornhill {
random_hook make_random()
{
    auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine] { return (*engine)(); };
}
} // namespace buckthornhill
