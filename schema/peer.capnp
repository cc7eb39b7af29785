@0xd06b1c5f83aa47e2;
# What entry nodes tell one another.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rudderloom::rpc");

using CrashNews = import "crashes.capnp".CrashNews;

struct Count {
  name @0 :Text;
  count @1 :UInt64;
}

# A third node's heartbeat counter, small because many are passed on.
struct Digest {
  id @0 :UInt64;  # hash of the node's incarnation
  beat @1 :UInt32;
  generation @2 :UInt32;
}

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :Text;
  address @2 :Text;
  availabilityZone @3 :Text;
  beat @4 :UInt64;
  generation @5 :UInt64;
  stopping @6 :Bool;
  leaving @7 :List(Text);      # endpoint#incarnation
  inFlight @8 :List(Count);    # by endpoint
  demand @9 :List(Count);      # by model or adapter
  quietEpochs @10 :List(Count);  # by pool
  digests @11 :List(Digest);   # of third nodes
  crashNews @12 :CrashNews;    # seen or heard of lately; null: none
}

interface Peer {
  heartbeat @0 (mine :Heartbeat) -> (yours :Heartbeat);
  # The configuration in force, if it is newer than the caller's.
  configuration @1 (newerThan :UInt64) -> (json :Text);
}
