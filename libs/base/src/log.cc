#include "base/log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace sassafras {
namespace {

using std::chrono::steady_clock;

/** Lines that one class may write a second, and at once. */
struct Budget {
  double lines_per_second;
  double burst;
};

/** By LogClass. */
constexpr std::array<Budget, 3> kBudgets = {{{50, 200}, {20, 60}, {1, 5}}};

/** What is left of one class's budget. */
struct Allowance {
  double tokens = 0;
  steady_clock::time_point filled_at{};
  uint64_t dropped = 0;
};

std::mutex g_mutex;
std::array<Allowance, kBudgets.size()> g_allowances;
std::atomic<uint64_t> g_dropped = 0;

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\t") != std::string_view::npos;
}

void AppendField(fmt::memory_buffer& line, const LogField& field) {
  if (NeedsQuotes(field.second)) {
    fmt::format_to(std::back_inserter(line), " {}={:?}", field.first, field.second);
    return;
  }
  fmt::format_to(std::back_inserter(line), " {}={}", field.first, field.second);
}

/** Adds what the class has earned since the last time. */
Allowance& Refill(LogClass log_class) {
  const auto index = static_cast<size_t>(log_class);
  Allowance& allowance = g_allowances[index];
  const Budget& budget = kBudgets[index];
  const auto now = steady_clock::now();
  const bool first = allowance.filled_at == steady_clock::time_point();
  const double seconds = std::chrono::duration<double>(now - allowance.filled_at).count();
  allowance.tokens =
      first ? budget.burst : std::min(budget.burst, allowance.tokens + seconds * budget.lines_per_second);
  allowance.filled_at = now;
  return allowance;
}

/** Writes without waiting; a line that does not go out at once and whole may be lost. */
bool WriteNow(const fmt::memory_buffer& line) {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  // A pipe that can be written to takes up to PIPE_BUF bytes at once.
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    return false;
  return write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

}  // namespace

bool MayLog(LogClass log_class) {
  const std::lock_guard lock(g_mutex);
  Allowance& allowance = Refill(log_class);
  if (allowance.tokens >= 1.0)
    return true;
  ++allowance.dropped;
  ++g_dropped;
  return false;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields, LogClass log_class) {
  const std::lock_guard lock(g_mutex);
  Allowance& allowance = Refill(log_class);
  if (allowance.tokens < 1.0) {
    ++allowance.dropped;
    ++g_dropped;
    return;
  }
  allowance.tokens -= 1.0;
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "time={:%FT%T}Z level={} event={}", now, LevelName(level), event);
  for (const LogField& field : fields)
    AppendField(line, field);
  if (allowance.dropped > 0)
    fmt::format_to(std::back_inserter(line), " lines_left_out={}", allowance.dropped);
  line.push_back('\n');
  if (WriteNow(line)) {
    allowance.dropped = 0;
    return;
  }
  ++allowance.dropped;
  ++g_dropped;
}

uint64_t DroppedLogLines() {
  return g_dropped;
}

}  // namespace sassafras
