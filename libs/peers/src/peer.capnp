@0xd6f1c3a58e0b4972;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sassafras::wire");

# What entry instances say to each other. Gossip travels as datagrams, Peer as RPC over TCP.

struct Member {
  name @0 :Text;
  failureDomain @1 :Text;
  address @2 :Text;
  peerAddress @3 :Text;
  incarnation @4 :UInt64;
  heartbeat @5 :UInt32;
  epoch @6 :UInt32;
  leaving @7 :Bool;
  storeUnreachable @8 :Bool;
}

struct Rumor {
  enum Kind {
    leaving @0;
    suspect @1;
    quarantine @2;
    returned @3;
    proven @4;
  }
  kind @0 :Kind;
  subject @1 :UInt64;
  detail @2 :UInt64;
  lifetimeMillis @3 :UInt32;
}

struct EndpointLoad {
  endpoint @0 :UInt64;
  inFlight @1 :UInt32;
  ageMillis @2 :UInt32;
}

struct Heartbeat {
  id @0 :UInt32;
  heartbeat @1 :UInt32;
}

struct EndpointChange {
  enum Kind {
    serving @0;
    leaving @1;
    gone @2;
  }
  kind @0 :Kind;
  name @1 :Text;
  service @2 :Text;
  address @3 :Text;
  failureDomain @4 :Text;
  slots @5 :UInt32;
  incarnation @6 :UInt64;
  revision @7 :UInt64;
  warmupMillis @8 :UInt32;
}

struct Evacuations {
  asOf @0 :UInt64;
  failureDomains @1 :List(Text);
}

struct QuotaRequest {
  id @0 :UInt64;
  account @1 :UInt64;
  shard @2 :UInt32;
  wanted @3 :UInt32;
  owed @4 :UInt32;
}

struct QuotaGrant {
  id @0 :UInt64;
  granted @1 :UInt32;
  retryAfterMillis @2 :UInt32;
}

struct Gossip {
  sender @0 :Member;
  generation @1 :UInt64;
  storeAgeMillis @2 :UInt64;
  rumors @3 :List(Rumor);
  loads @4 :List(EndpointLoad);
  members @5 :List(Member);
  ask @6 :UInt64;
  replyTo @7 :UInt64;
  heartbeats @8 :List(Heartbeat);
  endpointsDigest @9 :UInt64;
  endpointsAsOf @10 :UInt64;
  endpointsAgeMillis @11 :UInt64;
  endpointChanges @12 :List(EndpointChange);
  leavingDigest @13 :UInt64;
  relay @14 :Bool;
  # Stated as the greatest age minus the age, so that a message without it states the greatest age.
  listsConfirmedRecency @15 :UInt64;
  evacuations @16 :Evacuations;
  quotaRequests @17 :List(QuotaRequest);
  quotaGrants @18 :List(QuotaGrant);
}

struct TextDelta {
  keptStart @0 :UInt32;
  keptEnd @1 :UInt32;
  middle @2 :Data;
}

struct ListsDelta {
  baseGeneration @0 :UInt64;
  generation @1 :UInt64;
  author @2 :Text;
  newChanges @3 :List(Text);
  plans @4 :TextDelta;
  upstreams @5 :TextDelta;
  resultHash @6 :UInt64;
}

interface Peer {
  fetchLists @0 (above :UInt64, whole :Bool) -> (generation :UInt64, document :Data, delta :ListsDelta);
  # Returns what is held above generation `above`: a delta from that generation if the peer still has it and
  # `whole` is not set, else the whole document. If nothing is above it, only the generation held.
}
