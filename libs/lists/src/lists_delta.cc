#include "lists/lists_delta.h"

#include <algorithm>
#include <string_view>

#include "base/error.h"
#include "base/hash.h"

namespace sassafras {
namespace {

TextDelta MakeTextDelta(std::string_view base, std::string_view target) {
  const size_t shorter_size = std::min(base.size(), target.size());
  size_t prefix = 0;
  while (prefix < shorter_size && base[prefix] == target[prefix])
    ++prefix;
  size_t suffix = 0;
  while (suffix < shorter_size - prefix && base[base.size() - 1 - suffix] == target[target.size() - 1 - suffix])
    ++suffix;
  return {static_cast<uint32_t>(prefix), static_cast<uint32_t>(suffix),
          std::string(target.substr(prefix, target.size() - prefix - suffix))};
}

bool FitsBase(const TextDelta& delta, std::string_view base) {
  return static_cast<size_t>(delta.kept_prefix_bytes) + delta.kept_suffix_bytes <= base.size();
}

std::string ApplyTextDelta(const TextDelta& delta, std::string_view base) {
  std::string text(base.substr(0, delta.kept_prefix_bytes));
  text += delta.middle;
  text += base.substr(base.size() - delta.kept_suffix_bytes);
  return text;
}

void TrimChangeIds(std::vector<std::string>& changes) {
  if (changes.size() > kMaxChangeIds)
    changes.erase(changes.begin(), changes.end() - static_cast<std::ptrdiff_t>(kMaxChangeIds));
}

absl::Status MismatchError() {
  return MakeError(ErrorKind::kInvalidValue,
                   "the lists delta was made from other lists than those held here, or its result has a wrong hash",
                   "fetch the whole document");
}

}  // namespace

std::optional<ListsDelta> MakeDelta(const ListsDocument& base, const ListsDocument& target) {
  if (base.changes.empty() || base.generation >= target.generation)
    return std::nullopt;
  const auto base_change = std::find(target.changes.rbegin(), target.changes.rend(), base.changes.back());
  const auto encoded = EncodeDocument(target);
  if (base_change == target.changes.rend() || !encoded.ok())
    return std::nullopt;
  ListsDelta delta;
  delta.base_generation = base.generation;
  delta.generation = target.generation;
  delta.author = target.author;
  delta.new_changes.assign(base_change.base(), target.changes.end());
  delta.plans = MakeTextDelta(base.plans_toml, target.plans_toml);
  delta.upstreams = MakeTextDelta(base.upstreams_toml, target.upstreams_toml);
  delta.result_hash = Hash64(*encoded);
  return delta;
}

absl::StatusOr<ListsDocument> ApplyDelta(const ListsDocument& base, const ListsDelta& delta) {
  const bool fits = base.generation == delta.base_generation && FitsBase(delta.plans, base.plans_toml) &&
                    FitsBase(delta.upstreams, base.upstreams_toml);
  if (!fits)
    return MismatchError();
  ListsDocument result;
  result.generation = delta.generation;
  result.author = delta.author;
  result.changes = base.changes;
  result.changes.insert(result.changes.end(), delta.new_changes.begin(), delta.new_changes.end());
  TrimChangeIds(result.changes);
  result.plans_toml = ApplyTextDelta(delta.plans, base.plans_toml);
  result.upstreams_toml = ApplyTextDelta(delta.upstreams, base.upstreams_toml);
  const auto encoded = EncodeDocument(result);
  if (!encoded.ok() || Hash64(*encoded) != delta.result_hash)
    return MismatchError();
  return result;
}

}  // namespace sassafras
