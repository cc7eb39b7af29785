// Requests for one endpoint that accepts only so many a second, sent by a fleet in simulated time.
#ifndef RUDDERLOOM_TESTS_FAKES_LIMITED_TRAFFIC_HPP
#define RUDDERLOOM_TESTS_FAKES_LIMITED_TRAFFIC_HPP

#include <deque>   // for deque
#include <random>  // for mt19937

#include "fakes/fleet_world.hpp"                       // for FleetWorld
#include "rudderloom/endpoint_limits/limit_watch.hpp"  // for LimitWatch
#include "rudderloom/endpoint_limits/permit_book.hpp"  // for PermitBook

namespace rudderloom::fakes {

class LimitedTraffic {
 public:
  // `wanted`: requests a second that come for the endpoint, at all nodes alike.
  LimitedTraffic(FleetWorld& world, double wanted, unsigned seed);

  // From now on the endpoint's answers announce this; 0: none.
  void Announce(double requests_per_second);

  void Play(int milliseconds);

  // Most requests within 4 s, of those that came 3 s or more after the first announcement. Only
  // what a process sent in its first 3 s is left out, as it may not know the limit yet.
  int MostInWindow() const;
  // Requests that came within the last so many milliseconds.
  int Arrived(int milliseconds) const;
  // Nodes whose traffic takes the endpoint for limited.
  int NodesThatLimit() const;

 private:
  struct Sender {
    LimitWatch watch{0.0};
    PermitBook permits;
    int life = -1;     // of the node's processes, that this is of
    int began_at = 0;  // this life
  };
  struct Arrival {
    int at = 0;
    bool counts = false;
  };

  Sender& SenderOf(int node);
  void Request(int node);
  PermitAnswer AskForPermit(int node, const FleetView& view);
  void Send(int node, int life, int at);
  void Arrive(int node, int life);
  void Answer(int node, int life, double limit, int sent_at);
  void At(int moment, std::function<void()> what);

  FleetWorld& world_;
  double wanted_;
  std::mt19937 random_;
  std::vector<Sender> senders_;
  std::multimap<int, std::function<void()>> events_;
  std::vector<Arrival> arrivals_;
  double limit_ = 0.0;
  std::optional<int> limited_since_;
};

}  // namespace rudderloom::fakes

#endif
