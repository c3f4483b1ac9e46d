#pragma once

#include <string>
#include <string_view>

namespace sassafras {

/** Log of the requests that an endpoint ran. Each line is one write(2), so that it survives a crash of the process. */
class RunLog {
 public:
  explicit RunLog(const std::string& path);
  ~RunLog();
  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /**
   * Appends a line: microseconds since the Unix epoch; the kind "run", "done", "cancel", "probe" or "refuse"; and an
   * id.
   */
  void Write(std::string_view kind, std::string_view id) const;

 private:
  int m_file_descriptor = -1;
};

}  // namespace sassafras
