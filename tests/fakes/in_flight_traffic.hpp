// Simulates the requests that a fleet sends to one endpoint whose work in flight is bounded, on a
// virtual clock.
#ifndef RUDDERLOOM_TESTS_FAKES_IN_FLIGHT_TRAFFIC_HPP
#define RUDDERLOOM_TESTS_FAKES_IN_FLIGHT_TRAFFIC_HPP

#include <random>  // for mt19937

#include "fakes/fleet_world.hpp"                          // for FleetWorld
#include "rudderloom/endpoint_limits/granter_choice.hpp"  // for SilentGranters
#include "rudderloom/endpoint_limits/permit_book.hpp"     // for PermitBook
#include "rudderloom/endpoint_limits/shared_service.hpp"  // for SoloSends

namespace rudderloom::fakes {

class InFlightTraffic {
 public:
  static constexpr int kSlots = 6;
  static constexpr int kServiceMs = 100;
  static constexpr int kLimit = 12;
  static constexpr int kCapacityPerSecond = kSlots * 1'000 / kServiceMs;

  /// @brief `request_rate` requests per second arrive for the endpoint, each at a node chosen
  /// uniformly at random.
  InFlightTraffic(FleetWorld& world, double request_rate, unsigned seed);

  void Play(int milliseconds);

  /// @brief Returns the node that grants for the endpoint in the view of the first running node.
  std::optional<int> Granter() const;

  /// @brief Returns the highest number of granted requests at the endpoint at one time.
  int MostGranted() const { return most_granted_; }
  /// @brief Returns the highest number of requests at one time that nodes sent without a grant.
  int MostSolo() const { return most_solo_; }
  /// @brief Returns the requests served since the last call.
  int TakeServed() { return std::exchange(served_, 0); }

 private:
  struct Sender {
    SilentGranters silent;
    SoloSends solo{0.0};
    PermitBook permits;
    int generation = -1;  // number of the node process that this state belongs to
  };
  struct Request {
    int node = 0;
    int generation = 0;
    int arrived = 0;
  };
  struct Grant {
    int granter = 0;
    int generation = 0;
    GrantId id = 0;
  };

  Sender& SenderOf(int node);
  bool Lost(const Request& request) const;
  void Try(const Request& request);
  void TryAgain(const Request& request, int delay);
  void TrySolo(const Request& request);
  void AskGranter(const Request& request, const std::string& address);
  void Serve(const Request& request, std::optional<Grant> grant);
  void End(const Request& request, const std::optional<Grant>& grant);
  void ScheduleAt(int time, std::function<void()> callback);

  FleetWorld& world_;
  double request_rate_;
  std::mt19937 random_;
  std::vector<Sender> senders_;
  std::multimap<int, std::function<void()>> events_;
  std::vector<int> slot_free_at_ = std::vector<int>(kSlots, 0);
  int granted_ = 0;
  int solo_ = 0;
  int most_granted_ = 0;
  int most_solo_ = 0;
  int served_ = 0;
};

}  // namespace rudderloom::fakes

#endif
