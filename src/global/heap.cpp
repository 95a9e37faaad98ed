#include "global/heap.h"

#include <cstdlib>

#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace buckthornhill {
void return_large_blocks_at_once()
{
#ifdef __GLIBC__
    constexpr int large_block_bytes = 32 * 1024;
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
#endif
}
} // namespace buckthornhill
