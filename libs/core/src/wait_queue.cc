#include "wait_queue.h"

#include <algorithm>
#include <tuple>

namespace sassafras {
namespace {

/**
 * Comparator of the heap, whose top is served first: the entry with the lowest priority value, then virtual finish
 * time, then deadline. A lower priority value is more urgent.
 */
bool ServedLater(const WaitQueue::Entry& left, const WaitQueue::Entry& right) {
  return std::tie(left.priority, left.virtual_finish, left.deadline) >
         std::tie(right.priority, right.virtual_finish, right.deadline);
}

}  // namespace

void WaitQueue::Push(const Entry& entry) {
  m_heap.push_back(entry);
  std::push_heap(m_heap.begin(), m_heap.end(), &ServedLater);
}

void WaitQueue::Pop() {
  std::pop_heap(m_heap.begin(), m_heap.end(), &ServedLater);
  m_heap.pop_back();
}

std::optional<WaitQueue::Entry> WaitQueue::EvictLessUrgent(uint8_t priority) {
  const auto worst = std::min_element(m_heap.begin(), m_heap.end(), &ServedLater);
  if (worst == m_heap.end())
    return std::nullopt;
  // The minimum under ServedLater is the entry that would be served last.
  const Entry entry = *worst;
  if (entry.priority <= priority)
    return std::nullopt;
  m_heap.erase(worst);
  RestoreHeap();
  return entry;
}

void WaitQueue::RestoreHeap() {
  std::make_heap(m_heap.begin(), m_heap.end(), &ServedLater);
}

}  // namespace sassafras
