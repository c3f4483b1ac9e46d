#include "request_facts.h"

#include <charconv>
#include <chrono>

#include <fmt/format.h>

#include "base/error.h"
#include "base/hash.h"

namespace sassafras {
namespace {

constexpr size_t kMaxKeyBytes = 256;
constexpr uint64_t kHighSeed = 0x68696768;
constexpr uint64_t kLowSeed = 0x6c6f77;

template <typename Number>
bool ReadNumber(std::string_view text, Number& value, int base) {
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, base);
  return !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::string_view Text(const http::fields& fields, std::string_view name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

/** Parses "name.incarnation.epoch"; the name may itself hold dots. */
bool ParseOwner(std::string_view text, Idempotency& idempotency) {
  const size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0)
    return false;
  const size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0)
    return false;
  idempotency.owner = std::string(text.substr(0, middle));
  return ReadNumber(text.substr(middle + 1, last - middle - 1), idempotency.owner_incarnation, 16) &&
         ReadNumber(text.substr(last + 1), idempotency.owner_epoch, 10);
}

}  // namespace

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

uint64_t FingerprintOf(std::string_view method, std::string_view target, std::string_view body) {
  return Hash64(body, Hash64(target, Hash64(method)));
}

absl::StatusOr<Duration> ReadDeadline(const http::fields& fields) {
  const std::string_view text = Text(fields, kDeadlineHeader);
  if (text.empty())
    return Duration::max();
  uint32_t millis = 0;
  if (!ReadNumber(text, millis, 10)) {
    return MakeError(ErrorKind::kInvalidValue, fmt::format("{} is not a whole number", kDeadlineHeader),
                     "send the milliseconds left, such as 250");
  }
  return std::chrono::milliseconds(millis);
}

absl::StatusOr<Idempotency> ReadIdempotency(const http::fields& fields,
                                            std::string_view method,
                                            std::string_view path) {
  Idempotency idempotency;
  const std::string_view key = Text(fields, kIdempotencyKeyHeader);
  if (fields.find(kIdempotencyKeyHeader) == fields.end())
    return idempotency;
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return MakeError(ErrorKind::kInvalidValue, fmt::format("{} is empty or too long", kIdempotencyKeyHeader),
                     fmt::format("send 1 to {} characters", kMaxKeyBytes));
  }
  if (!ParseOwner(Text(fields, kOwnerHeader), idempotency)) {
    return MakeError(ErrorKind::kInvalidValue, fmt::format("{} is missing or malformed", kOwnerHeader),
                     "copy it unchanged from an address answer, and send the same one with every send of the key");
  }
  idempotency.present = true;
  idempotency.key_high = Hash64(key, Hash64(path, Hash64(method, kHighSeed)));
  idempotency.key_low = Hash64(key, Hash64(path, Hash64(method, kLowSeed)));
  return idempotency;
}

std::string FormatOwner(std::string_view name, uint64_t incarnation, uint32_t epoch) {
  return fmt::format("{}.{:x}.{}", name, incarnation, epoch);
}

}  // namespace sassafras
