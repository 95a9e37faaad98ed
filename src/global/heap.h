#pragma once

namespace buckthornhill {
//! Makes the heap return large blocks to the system as soon as they are freed. Bodies of many sizes that come
//! and go otherwise leave gaps between them, and the process holds up to twice what it uses. To be called
//! before other threads start.
void return_large_blocks_at_once();
} // namespace buckthornhill
