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

/** Token bucket parameters of one class: sustained rate, and size of a burst. */
struct RateLimit {
  double lines_per_second;
  double max_burst_lines;
};

/** Indexed by LogClass. */
constexpr std::array<RateLimit, 3> kRateLimits = {{{50, 200}, {20, 60}, {1, 5}}};

/** Token bucket of one class; one token admits one line. */
struct TokenBucket {
  double tokens = 0;
  steady_clock::time_point refilled_at{};
  uint64_t dropped_lines = 0;
};

std::mutex g_mutex;
std::array<TokenBucket, kRateLimits.size()> g_buckets;
std::atomic<uint64_t> g_dropped_lines = 0;

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

/** Adds the tokens accrued by the class since the last refill. */
TokenBucket& Refill(LogClass log_class) {
  const auto index = static_cast<size_t>(log_class);
  TokenBucket& bucket = g_buckets[index];
  const RateLimit& rate_limit = kRateLimits[index];
  const auto now = steady_clock::now();
  const bool first = bucket.refilled_at == steady_clock::time_point();
  const double seconds = std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens = first ? rate_limit.max_burst_lines
                        : std::min(rate_limit.max_burst_lines, bucket.tokens + seconds * rate_limit.lines_per_second);
  bucket.refilled_at = now;
  return bucket;
}

/** Writes without blocking; returns whether the whole line was written. */
bool TryWrite(const fmt::memory_buffer& line) {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  // A writable pipe accepts at least PIPE_BUF bytes without blocking.
  if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    return false;
  return write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

}  // namespace

bool ShouldLog(LogClass log_class) {
  const std::lock_guard lock(g_mutex);
  TokenBucket& bucket = Refill(log_class);
  if (bucket.tokens >= 1.0)
    return true;
  ++bucket.dropped_lines;
  ++g_dropped_lines;
  return false;
}

void Log(LogLevel level, std::string_view event, std::initializer_list<LogField> fields, LogClass log_class) {
  const std::lock_guard lock(g_mutex);
  TokenBucket& bucket = Refill(log_class);
  if (bucket.tokens < 1.0) {
    ++bucket.dropped_lines;
    ++g_dropped_lines;
    return;
  }
  bucket.tokens -= 1.0;
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  fmt::memory_buffer line;
  fmt::format_to(std::back_inserter(line), "time={:%FT%T}Z level={} event={}", now, LevelName(level), event);
  for (const LogField& field : fields)
    AppendField(line, field);
  if (bucket.dropped_lines > 0)
    fmt::format_to(std::back_inserter(line), " lines_left_out={}", bucket.dropped_lines);
  line.push_back('\n');
  if (TryWrite(line)) {
    bucket.dropped_lines = 0;
    return;
  }
  ++bucket.dropped_lines;
  ++g_dropped_lines;
}

uint64_t DroppedLogLines() {
  return g_dropped_lines;
}

}  // namespace sassafras
