#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "core/call_handle.h"

namespace sassafras {

/** Queue of calls that wait for an endpoint, ordered by priority, virtual finish time and deadline. */
class WaitQueue {
 public:
  struct Entry {
    /** Lower values are more urgent. */
    uint8_t priority = 0;
    double virtual_finish = 0;
    TimePoint deadline;
    CallHandle call;
  };

  /** Adds an entry; allocates only if the queue grows beyond its earlier maximum size. */
  void Push(const Entry& entry);
  bool Empty() const { return m_heap.empty(); }
  size_t Size() const { return m_heap.size(); }
  const Entry& Top() const { return m_heap.front(); }
  void Pop();
  /** Removes and returns the entry that would be served last, if its priority is less urgent than `priority`. */
  std::optional<Entry> EvictLessUrgent(uint8_t priority);
  /** Removes all entries for which `drop` returns true. */
  template <typename Predicate>
  void RemoveIf(Predicate drop);

 private:
  void RestoreHeap();
  std::vector<Entry> m_heap;
};

template <typename Predicate>
void WaitQueue::RemoveIf(Predicate drop) {
  if (std::erase_if(m_heap, drop) > 0)
    RestoreHeap();
}

}  // namespace sassafras
