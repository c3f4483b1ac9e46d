#pragma once

#include <functional>
#include <utility>

namespace sassafras {

/** Lets other code end a streamed reply. Cancel() does nothing before StreamHttp() starts and after it has ended. */
class StreamCanceller {
 public:
  void SetHandler(std::function<void()> stop) { m_stop = std::move(stop); }
  void ClearHandler() { m_stop = nullptr; }
  void Cancel() const {
    if (m_stop)
      m_stop();
  }

 private:
  std::function<void()> m_stop;
};

}  // namespace sassafras
