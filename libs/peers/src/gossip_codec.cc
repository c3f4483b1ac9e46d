#include "peers/gossip_codec.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "base/error.h"
#include "core/gossip_message.h"
#include "generated/peer.capnp.h"

namespace sassafras {
namespace {

using std::chrono::milliseconds;

/** Cap'n Proto limits on reading one datagram: words visited, and depth of nesting. */
constexpr uint64_t kTraversalLimitWords = 4'096;
constexpr int kNestingLimit = 8;
constexpr size_t kMaxItemsPerMessage = 128;
constexpr size_t kMaxTextBytes = 192;
/** Longest lifetime of a rumor, and longest warm-up of an endpoint, that is accepted. */
constexpr milliseconds kMaxLifetime = std::chrono::hours(1);

absl::Status InvalidDatagramError(std::string_view what) {
  return MakeError(ErrorKind::kInvalidValue, what, "check that only entry instances send to the peer address");
}

void WriteMember(const Member& member, wire::Member::Builder out) {
  out.setName(member.name);
  out.setFailureDomain(member.failure_domain);
  out.setAddress(member.address);
  out.setPeerAddress(member.peer_address);
  out.setIncarnation(member.incarnation);
  out.setHeartbeat(member.heartbeat);
  out.setEpoch(member.epoch);
  out.setLeaving(member.leaving);
  out.setStoreUnreachable(!member.store_reachable);
}

/** Reads a text; throws if it is too long. */
std::string ReadText(capnp::Text::Reader text) {
  KJ_REQUIRE(text.size() <= kMaxTextBytes, "text too long");
  return {text.begin(), text.size()};
}

Member ReadMember(wire::Member::Reader in) {
  Member member;
  member.name = ReadText(in.getName());
  member.failure_domain = ReadText(in.getFailureDomain());
  member.address = ReadText(in.getAddress());
  member.peer_address = ReadText(in.getPeerAddress());
  member.incarnation = in.getIncarnation();
  member.heartbeat = in.getHeartbeat();
  member.epoch = in.getEpoch();
  member.leaving = in.getLeaving();
  member.store_reachable = !in.getStoreUnreachable();
  KJ_REQUIRE(!member.name.empty(), "member without a name");
  return member;
}

GossipMessage::Rumor ReadRumor(wire::Rumor::Reader in) {
  KJ_REQUIRE(in.getKind() <= wire::Rumor::Kind::PROVEN, "unknown kind of rumor");
  GossipMessage::Rumor rumor;
  rumor.kind = static_cast<GossipMessage::Rumor::Kind>(in.getKind());
  rumor.subject = in.getSubject();
  rumor.detail = in.getDetail();
  rumor.lifetime = std::min(milliseconds(in.getLifetimeMillis()), kMaxLifetime);
  return rumor;
}

EndpointChange ReadEndpointChange(wire::EndpointChange::Reader in) {
  KJ_REQUIRE(in.getKind() <= wire::EndpointChange::Kind::GONE, "unknown kind of endpoint change");
  EndpointChange change;
  change.kind = static_cast<EndpointChange::Kind>(in.getKind());
  change.row.name = ReadText(in.getName());
  change.row.service = ReadText(in.getService());
  change.row.address = ReadText(in.getAddress());
  change.row.failure_domain = ReadText(in.getFailureDomain());
  change.row.slots = in.getSlots();
  change.incarnation = in.getIncarnation();
  change.revision = in.getRevision();
  change.warmup = std::min(milliseconds(in.getWarmupMillis()), kMaxLifetime);
  KJ_REQUIRE(!change.row.name.empty(), "endpoint without a name");
  return change;
}

void WriteEndpointChange(const EndpointChange& change, wire::EndpointChange::Builder out) {
  out.setKind(static_cast<wire::EndpointChange::Kind>(change.kind));
  out.setName(change.row.name);
  out.setService(change.row.service);
  out.setAddress(change.row.address);
  out.setFailureDomain(change.row.failure_domain);
  out.setSlots(change.row.slots);
  out.setIncarnation(change.incarnation);
  out.setRevision(change.revision);
  out.setWarmupMillis(static_cast<uint32_t>(change.warmup.count()));
}

GossipMessage::Evacuations ReadEvacuations(wire::Evacuations::Reader in) {
  GossipMessage::Evacuations evacuations;
  evacuations.as_of = in.getAsOf();
  for (const capnp::Text::Reader domain : in.getFailureDomains())
    evacuations.failure_domains.push_back(ReadText(domain));
  return evacuations;
}

GossipMessage ReadGossip(wire::Gossip::Reader in) {
  GossipMessage message;
  message.sender = ReadMember(in.getSender());
  message.generation = in.getGeneration();
  message.ask = in.getAsk();
  message.reply_to = in.getReplyTo();
  message.relay = in.getRelay();
  constexpr uint64_t kMaxAgeMillis = GossipMessage::kMaxAge.count();
  message.store_age = milliseconds(std::min<uint64_t>(in.getStoreAgeMillis(), kMaxAgeMillis));
  message.endpoints_digest = in.getEndpointsDigest();
  message.endpoints_as_of = in.getEndpointsAsOf();
  message.leaving_digest = in.getLeavingDigest();
  message.endpoints_age = milliseconds(std::min<uint64_t>(in.getEndpointsAgeMillis(), kMaxAgeMillis));
  message.lists_confirmed_age =
      GossipMessage::kMaxAge - milliseconds(std::min<uint64_t>(in.getListsConfirmedRecency(), kMaxAgeMillis));
  const size_t items = in.getEndpointChanges().size() + in.getRumors().size() + in.getLoads().size() +
                       in.getMembers().size() + in.getHeartbeats().size() + in.getQuotaRequests().size() +
                       in.getQuotaGrants().size() + in.getEvacuations().getFailureDomains().size();
  KJ_REQUIRE(items <= kMaxItemsPerMessage, "too many items");
  for (const wire::Rumor::Reader rumor : in.getRumors())
    message.rumors.push_back(ReadRumor(rumor));
  for (const wire::EndpointChange::Reader change : in.getEndpointChanges())
    message.endpoint_changes.push_back(ReadEndpointChange(change));
  for (const wire::EndpointLoad::Reader load : in.getLoads())
    message.loads.push_back({load.getEndpoint(), load.getInFlight(), milliseconds(load.getAgeMillis())});
  for (const wire::Member::Reader member : in.getMembers())
    message.members.push_back(ReadMember(member));
  for (const wire::Heartbeat::Reader heartbeat : in.getHeartbeats())
    message.heartbeats.push_back({heartbeat.getId(), heartbeat.getHeartbeat()});
  message.evacuations = ReadEvacuations(in.getEvacuations());
  for (const wire::QuotaRequest::Reader request : in.getQuotaRequests())
    message.quota_requests.push_back(
        {request.getId(), request.getAccount(), request.getShard(), request.getWanted(), request.getOwed()});
  for (const wire::QuotaGrant::Reader grant : in.getQuotaGrants()) {
    const milliseconds retry_after = std::min(milliseconds(grant.getRetryAfterMillis()), kMaxLifetime);
    message.quota_grants.push_back({grant.getId(), grant.getGranted(), retry_after});
  }
  return message;
}

void WriteEvacuations(const GossipMessage::Evacuations& evacuations, wire::Evacuations::Builder out) {
  out.setAsOf(evacuations.as_of);
  auto domains = out.initFailureDomains(static_cast<uint32_t>(evacuations.failure_domains.size()));
  for (uint32_t i = 0; i < domains.size(); ++i)
    domains.set(i, evacuations.failure_domains[i]);
}

void WriteQuota(const GossipMessage& message, wire::Gossip::Builder out) {
  auto requests = out.initQuotaRequests(static_cast<uint32_t>(message.quota_requests.size()));
  for (uint32_t i = 0; i < requests.size(); ++i) {
    const GossipMessage::QuotaRequest& request = message.quota_requests[i];
    requests[i].setId(request.id);
    requests[i].setAccount(request.account);
    requests[i].setShard(request.shard);
    requests[i].setWanted(request.wanted);
    requests[i].setOwed(request.owed);
  }
  auto grants = out.initQuotaGrants(static_cast<uint32_t>(message.quota_grants.size()));
  for (uint32_t i = 0; i < grants.size(); ++i) {
    grants[i].setId(message.quota_grants[i].id);
    grants[i].setGranted(message.quota_grants[i].granted);
    grants[i].setRetryAfterMillis(static_cast<uint32_t>(message.quota_grants[i].retry_after.count()));
  }
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  capnp::MallocMessageBuilder builder;
  auto gossip = builder.initRoot<wire::Gossip>();
  WriteMember(message.sender, gossip.initSender());
  gossip.setGeneration(message.generation);
  gossip.setAsk(message.ask);
  gossip.setReplyTo(message.reply_to);
  gossip.setRelay(message.relay);
  gossip.setStoreAgeMillis(static_cast<uint64_t>(std::max<int64_t>(0, message.store_age.count())));
  gossip.setEndpointsDigest(message.endpoints_digest);
  gossip.setEndpointsAsOf(message.endpoints_as_of);
  gossip.setLeavingDigest(message.leaving_digest);
  gossip.setEndpointsAgeMillis(static_cast<uint64_t>(std::max<int64_t>(0, message.endpoints_age.count())));
  auto changes = gossip.initEndpointChanges(static_cast<uint32_t>(message.endpoint_changes.size()));
  for (uint32_t i = 0; i < changes.size(); ++i)
    WriteEndpointChange(message.endpoint_changes[i], changes[i]);
  auto rumors = gossip.initRumors(static_cast<uint32_t>(message.rumors.size()));
  for (uint32_t i = 0; i < rumors.size(); ++i) {
    const GossipMessage::Rumor& rumor = message.rumors[i];
    rumors[i].setKind(static_cast<wire::Rumor::Kind>(rumor.kind));
    rumors[i].setSubject(rumor.subject);
    rumors[i].setDetail(rumor.detail);
    rumors[i].setLifetimeMillis(static_cast<uint32_t>(rumor.lifetime.count()));
  }
  auto loads = gossip.initLoads(static_cast<uint32_t>(message.loads.size()));
  for (uint32_t i = 0; i < loads.size(); ++i) {
    loads[i].setEndpoint(message.loads[i].endpoint);
    loads[i].setInFlight(message.loads[i].in_flight);
    loads[i].setAgeMillis(static_cast<uint32_t>(message.loads[i].age.count()));
  }
  auto members = gossip.initMembers(static_cast<uint32_t>(message.members.size()));
  for (uint32_t i = 0; i < members.size(); ++i)
    WriteMember(message.members[i], members[i]);
  auto heartbeats = gossip.initHeartbeats(static_cast<uint32_t>(message.heartbeats.size()));
  for (uint32_t i = 0; i < heartbeats.size(); ++i) {
    heartbeats[i].setId(message.heartbeats[i].id);
    heartbeats[i].setHeartbeat(message.heartbeats[i].heartbeat);
  }
  const milliseconds recency = GossipMessage::kMaxAge - std::max(milliseconds(0), message.lists_confirmed_age);
  gossip.setListsConfirmedRecency(static_cast<uint64_t>(std::max<int64_t>(0, recency.count())));
  if (message.evacuations.as_of != 0)
    WriteEvacuations(message.evacuations, gossip.initEvacuations());
  if (!message.quota_requests.empty() || !message.quota_grants.empty())
    WriteQuota(message, gossip);
  kj::VectorOutputStream output;
  capnp::writePackedMessage(output, builder);
  const auto bytes = output.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

absl::StatusOr<GossipMessage> DecodeGossip(std::span<const std::byte> datagram) {
  if (datagram.size() > kMaxGossipBytes)
    return InvalidDatagramError("gossip datagram too long");
  GossipMessage message;
  const kj::Maybe<kj::Exception> exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream input(kj::arrayPtr(reinterpret_cast<const kj::byte*>(datagram.data()), datagram.size()));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kTraversalLimitWords;
    options.nestingLimit = kNestingLimit;
    capnp::PackedMessageReader reader(input, options);
    message = ReadGossip(reader.getRoot<wire::Gossip>());
  });
  if (exception != nullptr)
    return InvalidDatagramError("gossip datagram malformed");
  return message;
}

}  // namespace sassafras
