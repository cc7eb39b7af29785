/// @file
/// Counters, gauges and Boost.Histogram latency histograms, exported as Prometheus text.
#ifndef RUDDERLOOM_TELEMETRY_METRICS_HPP
#define RUDDERLOOM_TELEMETRY_METRICS_HPP

#include <cstdint>      // for uint64_t
#include <memory>       // for unique_ptr
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom {

/// @brief Name and optional label of a time series.
/// @ingroup telemetry
struct Series {
  std::string_view name;        ///< For example `rudderloom_refusals_total`.
  std::string_view label = {};  ///< For example `reason`.
  std::string_view value = {};  ///< For example `queue_full`.
};

/// @brief All metrics of one process. Thread-safe.
/// @ingroup telemetry
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /// @brief Adds to a counter, which the first call creates.
  void Count(const Series& series, std::uint64_t by = 1);

  /// @brief Sets a gauge.
  void Set(const Series& series, double value);

  /// @brief Adds one observation, in seconds, to a latency histogram (0.1 ms to 1,000 s).
  void Observe(const Series& series, double seconds);

  /// @brief Returns the current value of a counter; 0 when it does not exist.
  std::uint64_t Value(const Series& series) const;

  /// @brief Returns all metrics in Prometheus text exposition format; counters, gauges and
  /// histograms are each sorted by name.
  std::string Text() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace rudderloom

#endif
