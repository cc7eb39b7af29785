@0xc1f04a8be6d2937b;
# What entry nodes tell the holder of the placement lease, and what it tells them.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rudderloom::rpc");

# Requests on one endpoint, in eight bytes: they are told often, by every node and to every node.
struct EndpointLoad {
  endpoint @0 :UInt32;         # hash of its instance
  requests @1 :UInt8;          # 255 for more
  deferred @2 :UInt8;          # of these, sent to run after all others; 255 for more
  unreadTokenUnits @3 :UInt16;  # prompt tokens not yet read, in units of 64; 65,535 for more
}

# Requests for one model or adapter.
struct UnitCount {
  service @0 :Text;
  model @1 :Text;
  adapter @2 :Text;  # empty for the model itself
  running @3 :UInt32;
  waiting @4 :UInt32;
  offeredMs @5 :UInt64;  # that requests which came since the last count would take at an endpoint
}

struct NodeCounts {
  node @0 :Text;
  incarnation @1 :Text;
  loads @2 :List(EndpointLoad);
  units @3 :List(UnitCount);
  servingSeen @4 :UInt64;  # version up to which the node knows what is served
  routesVersion @5 :UInt64;  # configuration in force at the node; 0 for none
  endpointsSeen @6 :UInt64;  # the store's revision up to which the node knows the endpoints
  processorShare @7 :Float32 = 1.0;  # of one core, that the node may use
}

struct ServedModel {
  name @0 :Text;
  version @1 :UInt64;
  adapters @2 :List(Text);
}

# One endpoint's entry in the platform's list, without what it holds: `Serving` tells that.
struct EndpointEntry {
  instance @0 :Text;
  service @1 :Text;
  address @2 :Text;
  availabilityZone @3 :Text;
  slots @4 :UInt32;
  leaving @5 :Bool;
}

# What changed in the list since a revision.
struct EndpointChanges {
  version @0 :UInt64;  # of the store; everything up to it is told or known
  whole @1 :Bool;      # the entries are the whole list
  entries @2 :List(EndpointEntry);
  gone @3 :List(Text);  # instances
}

# What requests may be sent to one endpoint for.
struct Serving {
  instance @0 :Text;
  models @1 :List(ServedModel);
}

struct ServingChanges {
  version @0 :UInt64;  # everything up to it is told or known
  whole @1 :Bool;      # the entries are all that there are
  entries @2 :List(Serving);
  gone @3 :List(Text);  # instances
}

# What the asking node lacks.
struct DigestChanges {
  serving @0 :ServingChanges;
  endpoints @1 :EndpointChanges;
}

struct Digest {
  holds @0 :Bool;            # false: the rest is empty
  epoch @1 :UInt64;
  nodes @2 :UInt32;          # whose counts are fresh, with the holder
  loads @3 :List(EndpointLoad);  # of all nodes but the one that asks
  packedChanges @4 :Data;        # DigestChanges in Cap'n Proto's packed encoding
  routesVersion @5 :UInt64;      # configuration in force at the holder; 0 for none
  endpointsAgeMs @6 :Int64 = -1; # since the store confirmed the holder's list; below 0: never
  standby @7 :Bool;              # the asking node is one of the first that take over
  renewalsFail @8 :Bool;         # the holder can't renew its lease at present
}

interface PlacementHolder {
  report @0 (counts :NodeCounts) -> (digest :Digest);
}
