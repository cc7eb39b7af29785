@0xb3d81f0a64c2975e;
# What nodes tell each other of requests under which endpoints have ended.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rudderloom::rpc");

# A request that was under way at an endpoint whose process ended.
struct RequestCrash {
  request @0 :Data;     # digest
  endpoint @1 :UInt32;  # hash of its instance
}

# What a node, or a group of nodes, has seen lately.
struct CrashNews {
  crashes @0 :List(RequestCrash);
  cleared @1 :List(Data);  # digests of requests that were answered whole, or cleared by an operator
}
