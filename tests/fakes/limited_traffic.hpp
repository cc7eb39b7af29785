// Simulates the requests that a fleet sends to one rate-limited endpoint, on a virtual clock.
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
  /// @brief `request_rate` requests per second arrive for the endpoint, each at a node chosen
  /// uniformly at random.
  LimitedTraffic(FleetWorld& world, double request_rate, unsigned seed);

  /// @brief Sets the limit that responses of the endpoint announce from now on; 0 announces none.
  void Announce(double requests_per_second);

  void Play(int milliseconds);

  /// @brief Returns the highest number of requests within 4 s, counted from 3 s after the first
  /// announcement. Requests in the first 3 s of a process do not count, as it may not know the
  /// limit yet.
  int MostInWindow() const;
  /// @brief Returns how many requests arrived within the last `milliseconds`.
  int Arrived(int milliseconds) const;
  /// @brief Returns how many nodes treat the endpoint as limited.
  int NodesApplyingLimit() const;

 private:
  struct Sender {
    LimitWatch watch{0.0};
    PermitBook permits;
    int generation = -1;  // number of the node process that this state belongs to
    int started_at = 0;   // start time of that process
  };
  struct Arrival {
    int time = 0;
    bool counted = false;
  };

  Sender& SenderOf(int node);
  void GenerateRequest(int node);
  PermitAnswer RequestPermit(int node, const FleetView& view);
  void SendRequest(int node, int generation, int time);
  void HandleArrival(int node, int generation);
  void HandleResponse(int node, int generation, double limit, int sent_at);
  void ScheduleAt(int time, std::function<void()> callback);

  FleetWorld& world_;
  double request_rate_;
  std::mt19937 random_;
  std::vector<Sender> senders_;
  std::multimap<int, std::function<void()>> events_;
  std::vector<Arrival> arrivals_;
  double limit_ = 0.0;
  std::optional<int> limited_since_;
};

}  // namespace rudderloom::fakes

#endif
