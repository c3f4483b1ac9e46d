#include "lists_delta_codec.h"

#include <string>

namespace sassafras {
namespace {

void WriteText(const TextDelta& delta, wire::TextDelta::Builder out) {
  out.setKeptStart(delta.kept_prefix_bytes);
  out.setKeptEnd(delta.kept_suffix_bytes);
  out.setMiddle(kj::arrayPtr(reinterpret_cast<const kj::byte*>(delta.middle.data()), delta.middle.size()));
}

TextDelta ReadText(wire::TextDelta::Reader in) {
  const auto middle = in.getMiddle();
  return {in.getKeptStart(), in.getKeptEnd(),
          std::string(reinterpret_cast<const char*>(middle.begin()), middle.size())};
}

}  // namespace

void WriteDelta(const ListsDelta& delta, wire::ListsDelta::Builder out) {
  out.setBaseGeneration(delta.base_generation);
  out.setGeneration(delta.generation);
  out.setAuthor(delta.author);
  auto changes = out.initNewChanges(static_cast<uint32_t>(delta.new_changes.size()));
  for (uint32_t i = 0; i < changes.size(); ++i)
    changes.set(i, delta.new_changes[i]);
  WriteText(delta.plans, out.initPlans());
  WriteText(delta.upstreams, out.initUpstreams());
  out.setResultHash(delta.result_hash);
}

ListsDelta ReadDelta(wire::ListsDelta::Reader in) {
  ListsDelta delta;
  delta.base_generation = in.getBaseGeneration();
  delta.generation = in.getGeneration();
  delta.author = std::string(in.getAuthor().begin(), in.getAuthor().size());
  for (const capnp::Text::Reader change : in.getNewChanges())
    delta.new_changes.emplace_back(change.begin(), change.size());
  delta.plans = ReadText(in.getPlans());
  delta.upstreams = ReadText(in.getUpstreams());
  delta.result_hash = in.getResultHash();
  return delta;
}

}  // namespace sassafras
