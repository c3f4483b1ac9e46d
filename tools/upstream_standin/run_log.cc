#include "run_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

#include <fmt/format.h>

namespace sassafras {

RunLog::RunLog(const std::string& path) {
  constexpr int kFileMode = 0644;
  if (!path.empty())
    m_file_descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
}

RunLog::~RunLog() {
  if (m_file_descriptor >= 0)
    ::close(m_file_descriptor);
}

void RunLog::Write(std::string_view kind, std::string_view id) const {
  if (m_file_descriptor < 0)
    return;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const std::string line =
      fmt::format("{} {} {}\n", std::chrono::duration_cast<std::chrono::microseconds>(now).count(), kind, id);
  [[maybe_unused]] const ssize_t written = ::write(m_file_descriptor, line.data(), line.size());
}

}  // namespace sassafras
