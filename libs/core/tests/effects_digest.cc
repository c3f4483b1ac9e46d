#include "effects_digest.h"

#include <string_view>

#include "base/hash.h"
#include "core/gossip_message.h"

namespace sassafras {
namespace {

/** Hashes the fields of each effect that a decision or a random draw shows in. */
struct EffectHasher {
  uint64_t hash = 0;

  void Add(uint64_t word) { hash = HashCombine(hash, word); }
  void Add(std::string_view text) { hash = Hash64(text, hash); }
  void Add(TimePoint time) { Add(static_cast<uint64_t>(time.time_since_epoch().count())); }

  void Add(const Member& member) {
    Add(member.name);
    Add(member.incarnation);
    Add(member.heartbeat);
  }
  void Add(const EndpointChange& change) {
    Add(change.row.name);
    Add(change.revision);
  }
  void Add(const GossipMessage::Rumor& rumor) {
    Add(rumor.subject);
    Add(rumor.detail);
  }
  void Add(const GossipMessage::EndpointLoad& load) { Add(load.endpoint); }
  void Add(const GossipMessage::Heartbeat& heartbeat) {
    Add(heartbeat.id);
    Add(heartbeat.heartbeat);
  }
  template <typename Item>
  void AddAll(const std::vector<Item>& items) {
    for (const Item& item : items)
      Add(item);
  }

  void operator()(const Effect::Accepted& effect) { Add(effect.ticket); }
  void operator()(const Effect::Dispatch& effect) {
    Add(effect.ticket);
    Add(effect.endpoint.Index());
    Add(effect.deadline);
    Add(effect.hedge_at);
  }
  void operator()(const Effect::Reject& effect) {
    Add(effect.ticket);
    Add(static_cast<uint64_t>(effect.reason));
    Add(static_cast<uint64_t>(effect.retry_after.count()));
  }
  void operator()(const Effect::SendRecordedAnswer& effect) { Add(effect.ticket); }
  void operator()(const Effect::SendProbe& effect) {
    Add(effect.endpoint.Index());
    Add(effect.not_after);
  }
  void operator()(const Effect::ArmProbeWaitTimer& effect) {
    Add(effect.ticket);
    Add(effect.at);
  }
  void operator()(const Effect::ReadEndpoints& effect) {
    Add(effect.whole ? 1 : 0);
    Add(effect.after_revision);
    Add(effect.peer_address);
  }
  void operator()(const Effect::ReadRoster& /*effect*/) {}
  void operator()(const Effect::WriteRoster& effect) { AddAll(effect.members); }
  void operator()(const Effect::SendGossip& effect) {
    Add(effect.peer_address);
    const GossipMessage& message = *effect.message;
    Add(message.sender);
    Add(message.generation);
    Add(message.ask);
    Add(message.reply_to);
    Add(message.endpoints_digest);
    AddAll(message.endpoint_changes);
    AddAll(message.rumors);
    AddAll(message.loads);
    AddAll(message.members);
    AddAll(message.heartbeats);
  }
  void operator()(const Effect::FetchLists& effect) { Add(effect.peer_address); }
  void operator()(const Effect::PollStore& effect) { Add(effect.may_lag ? 1 : 0); }
  void operator()(const Effect::WatchStore& effect) { Add(effect.on ? 1 : 0); }
  void operator()(const Effect::RestoreLists& effect) { Add(effect.generation); }
  void operator()(const Effect::ClaimSeat& effect) { Add(effect.seat); }
  void operator()(const Effect::ReleaseSeat& effect) { Add(effect.seat); }
  void operator()(const Effect::CloseListeners& /*effect*/) {}
  void operator()(const Effect::WriteLogRecord& effect) {
    Add(effect.record.subject);
    Add(effect.record.version);
  }
};

}  // namespace

void EffectsDigest::Add(size_t instance, const Effects& effects) {
  for (const Effect::Any& effect : effects) {
    EffectHasher hasher{m_value};
    hasher.Add(instance);
    hasher.Add(effect.index());
    std::visit(hasher, effect);
    m_value = hasher.hash;
  }
}

}  // namespace sassafras
