/// @file
/// Counters, gauges and Boost.Histogram latencies, shown as Prometheus text.
#ifndef RUDDERLOOM_TELEMETRY_METRICS_HPP
#define RUDDERLOOM_TELEMETRY_METRICS_HPP

#include <cstdint>      // for uint64_t
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Name and, where there is one, label of a series.
/// @ingroup telemetry
struct Series {
  std::string_view name;        ///< For example `rudderloom_refusals_total`.
  std::string_view label = {};  ///< For example `reason`.
  std::string_view value = {};  ///< For example `queue_full`.
};

/// @brief All series of one process. Every method may be called from any thread.
/// @ingroup telemetry
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// @brief Adds to a counter; the first call makes it.
  void Count(const Series& series, std::uint64_t by = 1);

  /// @brief Sets a gauge.
  void Set(const Series& series, double value);

  /// @brief Adds one observation, in seconds, to a latency histogram (0.1 ms to 1,000 s).
  void Observe(const Series& series, double seconds);

  /// @brief The present value of a counter; 0 when it was never counted.
  std::uint64_t Value(const Series& series) const;

  /// @brief Prometheus text exposition format, sorted by name.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom

#endif
