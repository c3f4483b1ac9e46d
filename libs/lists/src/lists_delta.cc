#include "lists/lists_delta.h"

#include <algorithm>
#include <string_view>

#include "base/error.h"
#include "base/hash.h"

namespace sassafras {
namespace {

TextDelta MakeTextDelta(std::string_view base, std::string_view target) {
  const size_t limit = std::min(base.size(), target.size());
  size_t start = 0;
  while (start < limit && base[start] == target[start])
    ++start;
  size_t end = 0;
  while (end < limit - start && base[base.size() - 1 - end] == target[target.size() - 1 - end])
    ++end;
  return {static_cast<uint32_t>(start), static_cast<uint32_t>(end),
          std::string(target.substr(start, target.size() - start - end))};
}

bool Fits(const TextDelta& delta, std::string_view base) {
  return static_cast<size_t>(delta.kept_start) + delta.kept_end <= base.size();
}

std::string ApplyTextDelta(const TextDelta& delta, std::string_view base) {
  std::string text(base.substr(0, delta.kept_start));
  text += delta.middle;
  text += base.substr(base.size() - delta.kept_end);
  return text;
}

void TrimHistory(std::vector<std::string>& changes) {
  if (changes.size() > kMaxChangeHistory)
    changes.erase(changes.begin(), changes.end() - static_cast<std::ptrdiff_t>(kMaxChangeHistory));
}

absl::Status Mismatch() {
  return MakeError(ErrorKind::kInvalidValue, "lists delta does not fit the lists held here",
                   "fetch the whole document");
}

}  // namespace

std::optional<ListsDelta> MakeDelta(const ListsDocument& base, const ListsDocument& target) {
  if (base.changes.empty() || base.generation >= target.generation)
    return std::nullopt;
  const auto shared = std::find(target.changes.rbegin(), target.changes.rend(), base.changes.back());
  const auto encoded = EncodeDocument(target);
  if (shared == target.changes.rend() || !encoded.ok())
    return std::nullopt;
  ListsDelta delta;
  delta.base_generation = base.generation;
  delta.generation = target.generation;
  delta.author = target.author;
  delta.new_changes.assign(shared.base(), target.changes.end());
  delta.plans = MakeTextDelta(base.plans_toml, target.plans_toml);
  delta.upstreams = MakeTextDelta(base.upstreams_toml, target.upstreams_toml);
  delta.result_hash = Hash64(*encoded);
  return delta;
}

absl::StatusOr<ListsDocument> ApplyDelta(const ListsDocument& base, const ListsDelta& delta) {
  const bool fits = base.generation == delta.base_generation && Fits(delta.plans, base.plans_toml) &&
                    Fits(delta.upstreams, base.upstreams_toml);
  if (!fits)
    return Mismatch();
  ListsDocument result;
  result.generation = delta.generation;
  result.author = delta.author;
  result.changes = base.changes;
  result.changes.insert(result.changes.end(), delta.new_changes.begin(), delta.new_changes.end());
  TrimHistory(result.changes);
  result.plans_toml = ApplyTextDelta(delta.plans, base.plans_toml);
  result.upstreams_toml = ApplyTextDelta(delta.upstreams, base.upstreams_toml);
  const auto encoded = EncodeDocument(result);
  if (!encoded.ok() || Hash64(*encoded) != delta.result_hash)
    return Mismatch();
  return result;
}

}  // namespace sassafras
