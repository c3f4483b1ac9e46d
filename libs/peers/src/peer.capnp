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
  heartbeat @5 :UInt64;
  epoch @6 :UInt32;
  leaving @7 :Bool;
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

struct Gossip {
  sender @0 :Member;
  generation @1 :UInt64;
  storeAgeMillis @2 :UInt64;
  rumors @3 :List(Rumor);
  loads @4 :List(EndpointLoad);
  members @5 :List(Member);
  ask @6 :UInt64;
  replyTo @7 :UInt64;
}

interface Peer {
  # Returns the stored document if its generation is above `above`, else only the generation held.
  fetchLists @0 (above :UInt64) -> (generation :UInt64, document :Data);
}
