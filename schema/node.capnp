@0xe8a1fd2b9c6043d7;
# The one interface that an entry node offers on its peers' listener.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rudderloom::rpc");

using Operator = import "operator.capnp".Operator;
using Peer = import "peer.capnp".Peer;

interface Node extends(Operator, Peer) {}
