#include "rudderloom/stream_versions/moved_streams.hpp"

namespace rudderloom {

namespace {

void AddMoved(const Route* former, const Route* current, std::set<MovedStreams>& moved) {
  if (former == nullptr || current == nullptr || former->kind != RouteKind::kStream ||
      current->kind != RouteKind::kStream || former->shares == current->shares) {
    return;
  }
  for (const ServiceShare& from : former->shares) {
    for (const ServiceShare& to : current->shares) {
      if (from.service != to.service) {
        moved.insert({from.service, to.service});
      }
    }
  }
}

}  // namespace

std::set<MovedStreams> FindMovedStreams(const RouteTable& former, const RouteTable& current) {
  std::set<MovedStreams> moved;
  for (const Route& route : former.Routes()) {
    AddMoved(&route, current.Find(route.host, route.prefix), moved);
  }
  for (const Route& route : current.Routes()) {
    AddMoved(former.Find(route.host, route.prefix), &route, moved);
  }
  return moved;
}

}  // namespace rudderloom
