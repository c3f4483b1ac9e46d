#include "request_parsing.h"

#include <algorithm>
#include <string>

#include <boost/beast/core/string.hpp>
#include <fmt/format.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/parse_number.h"
#include "long_fields.h"

namespace sassafras {
namespace {

constexpr size_t kMaxKeyBytes = 256;
constexpr uint64_t kKeyHighSeed = 0x68696768;
constexpr uint64_t kKeyLowSeed = 0x6c6f77;

std::string_view Text(const http::fields& fields, std::string_view name) {
  const auto value = fields[name];
  return {value.data(), value.size()};
}

/** Parses "name.incarnation.epoch"; the name may contain dots. */
bool ParseOwner(std::string_view text, Idempotency& idempotency) {
  const size_t last = text.rfind('.');
  if (last == std::string_view::npos || last == 0)
    return false;
  const size_t middle = text.rfind('.', last - 1);
  if (middle == std::string_view::npos || middle == 0)
    return false;
  idempotency.owner = std::string(text.substr(0, middle));
  return ParseNumber(text.substr(middle + 1, last - middle - 1), idempotency.owner_incarnation, 16) &&
         ParseNumber(text.substr(last + 1), idempotency.owner_epoch);
}

}  // namespace

bool UseOriginForm(http::request_header<>& head) {
  constexpr std::string_view kScheme = "http://";
  const std::string target(head.target());
  if (!boost::beast::iequals({target.data(), std::min(target.size(), kScheme.size())},
                             {kScheme.data(), kScheme.size()}))
    return true;
  const size_t authority_end = std::min(target.find_first_of("/?", kScheme.size()), target.size());
  const std::string rest = target.substr(authority_end);
  const std::string authority = target.substr(kScheme.size(), authority_end - kScheme.size());
  if (authority.size() > kMaxStoredValueBytes)
    return false;
  head.set(http::field::host, authority);
  head.target(rest.starts_with('/') ? rest : "/" + rest);
  return true;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

uint64_t RequestFingerprint(std::string_view method, std::string_view target, std::string_view body) {
  return Hash64(body, Hash64(target, Hash64(method)));
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
  idempotency.key_high = Hash64(key, Hash64(path, Hash64(method, kKeyHighSeed)));
  idempotency.key_low = Hash64(key, Hash64(path, Hash64(method, kKeyLowSeed)));
  return idempotency;
}

std::string FormatOwner(std::string_view name, uint64_t incarnation, uint32_t epoch) {
  return fmt::format("{}.{:x}.{}", name, incarnation, epoch);
}

}  // namespace sassafras
