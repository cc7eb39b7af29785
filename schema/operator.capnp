@0xb1f6a3c04e7d2911;
# What operators ask of an entry node. Any entry node answers; none is special.
# Every change is a typed call that takes effect or is refused with a typed reason.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rudderloom::rpc");

struct DeclarationFile {
  name @0 :Text;  # as the operator knows it, for error messages
  text @1 :Text;  # JSON
}

struct Mistake {
  path @0 :Text;     # file name and JSON path
  message @1 :Text;
}

struct ChangeRequest {
  author @0 :Text;             # shown to whoever loses a race
  token @1 :Text;              # of this change; ask again with the same one when in doubt
  expectedGeneration @2 :UInt64;  # the change is made on this state or refused
  union {
    apply :group {
      set @3 :Text;                       # name of the declaration set to replace
      files @4 :List(DeclarationFile);    # no files: the set is removed
    }
    drain :group {
      endpoint @5 :Text;
      undo @6 :Bool;
    }
  }
}

struct ChangeResult {
  union {
    accepted @0 :UInt64;      # generation in which the change stands
    unchanged @1 :UInt64;     # generation that already says the same
    conflict :group {         # another change came first
      generation @2 :UInt64;
      author @3 :Text;
    }
    invalid @4 :List(Mistake);
    unreachable @5 :Text;     # the platform was not reached; nothing was changed
    unknown @6 :Text;         # nobody knows; ask again with the same token
  }
}

struct Configuration {
  generation @0 :UInt64;
  author @1 :Text;
  json @2 :Text;  # sets and drained endpoints
}

struct NodeStatus {
  name @0 :Text;
  address @1 :Text;
  availabilityZone @2 :Text;
  generation @3 :UInt64;  # in force there, as last heard
  live @4 :Bool;
  stopping @5 :Bool;
}

struct UnitStatus {
  unit @0 :Text;
  state @1 :Text;
}

struct EndpointStatus {
  name @0 :Text;
  pool @1 :Text;
  address @2 :Text;
  state @3 :Text;  # live, leaving, drained or silent
  memory @4 :UInt64;
  reserved @5 :UInt64;
  units @6 :List(UnitStatus);
}

struct Status {
  node @0 :NodeStatus;            # the one that answers
  others @1 :List(NodeStatus);
  endpoints @2 :List(EndpointStatus);
  heldPools @3 :List(Text);
}

interface Operator {
  change @0 (request :ChangeRequest) -> (result :ChangeResult);
  get @1 () -> (configuration :Configuration);
  status @2 () -> (status :Status);
}
