#pragma once

#include <string>
#include <string_view>

namespace sassafras {

/** Log of what an endpoint ran. Each line is one write, so that it survives the end of the process. */
class RunLog {
 public:
  explicit RunLog(const std::string& path);
  ~RunLog();
  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /** Appends wall time in microseconds, the kind ("run", "done", "probe", "refuse") and an id. */
  void Write(std::string_view kind, std::string_view id) const;

 private:
  int m_file_descriptor = -1;
};

}  // namespace sassafras
