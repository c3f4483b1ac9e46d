#pragma once

#include <unistd.h>

#include <cstdio>
#include <string>

namespace sassafras {

/** Collects what the process writes to standard output, such as log lines, from construction to destruction. */
class CapturedOutput {
 public:
  CapturedOutput() {
    std::fflush(stdout);
    ::dup2(::fileno(m_file), STDOUT_FILENO);
  }
  ~CapturedOutput() {
    std::fflush(stdout);
    ::dup2(m_original, STDOUT_FILENO);
    ::close(m_original);
    std::fclose(m_file);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  /** Returns the text written so far. */
  std::string Text() const {
    std::string text(kMaxBytes, '\0');
    const ssize_t length = ::pread(::fileno(m_file), text.data(), text.size(), 0);
    text.resize(length > 0 ? static_cast<size_t>(length) : 0);
    return text;
  }

 private:
  /** More than a test writes. */
  static constexpr size_t kMaxBytes = 65'536;

  int m_original = ::dup(STDOUT_FILENO);
  std::FILE* m_file = std::tmpfile();
};

}  // namespace sassafras
