#pragma once

#include <functional>
#include <utility>

namespace sassafras {

/** Ends a streamed reply from outside. Asking before the stream is open, or after it ended, does nothing. */
class StreamStop {
 public:
  void Set(std::function<void()> stop) { m_stop = std::move(stop); }
  void Clear() { m_stop = nullptr; }
  void Request() const {
    if (m_stop)
      m_stop();
  }

 private:
  std::function<void()> m_stop;
};

}  // namespace sassafras
