#pragma once

#include <cstdio>
#include <string>
#include <string_view>

namespace sassafras {

/**
 * File with one line for each send of a call: flow, request id and outcome. Tests compare it with the logs of the
 * upstream stand-ins. Without a path nothing is written.
 */
class CallLog {
 public:
  explicit CallLog(const std::string& path) : m_file(path.empty() ? nullptr : std::fopen(path.c_str(), "w")) {}
  ~CallLog() {
    if (m_file != nullptr)
      std::fclose(m_file);
  }
  CallLog(const CallLog&) = delete;
  CallLog& operator=(const CallLog&) = delete;

  void Write(std::string_view flow, std::string_view id, std::string_view outcome) {
    if (m_file != nullptr)
      std::fprintf(m_file, "%.*s %.*s %.*s\n", static_cast<int>(flow.size()), flow.data(), static_cast<int>(id.size()),
                   id.data(), static_cast<int>(outcome.size()), outcome.data());
  }

 private:
  std::FILE* m_file;
};

}  // namespace sassafras
