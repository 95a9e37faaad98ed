#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace buckthornhill {
//! Bounded queue with one producer thread and one consumer thread. The consumer is woken once for each burst.
template <typename T>
class bounded_ring
{
public:
    //! `wake` is called by the producer when the consumer has to call `drain`.
    bounded_ring(std::size_t capacity, std::function<void()> wake)
        : queue(capacity)
        , wake(std::move(wake))
    {
    }

    //! Returns false when the ring is full; the item is then dropped and counted.
    bool push(T item)
    {
        if (!this->queue.push(std::move(item))) {
            this->dropped.fetch_add(1, std::memory_order_relaxed);
            return false;
        }
        if (!this->wake_pending.exchange(true)) {
            this->wake();
        }
        return true;
    }

    //! Consumer side: hands every queued item to `consume`.
    template <typename Consume>
    void drain(Consume&& consume)
    {
        this->wake_pending.store(false);
        this->queue.consume_all(consume);
    }

    std::size_t dropped_count() const { return this->dropped.load(std::memory_order_relaxed); }

private:
    boost::lockfree::spsc_queue<T> queue;
    std::function<void()> wake;
    std::atomic<bool> wake_pending{false};
    std::atomic<std::size_t> dropped{0};
};
} // namespace buckthornhill
