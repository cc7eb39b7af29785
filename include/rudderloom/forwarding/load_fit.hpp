/// @file
/// Linear fit of a time against the load of an endpoint.
#ifndef RUDDERLOOM_FORWARDING_LOAD_FIT_HPP
#define RUDDERLOOM_FORWARDING_LOAD_FIT_HPP

#include <array>  // for array

namespace rudderloom {

/// @brief Learns a time in milliseconds as a linear function of prompt tokens to process and of
/// other requests, by least squares with exponential decay.
///
/// A prior keeps the fit determined while all samples are alike, for example while all prompts have
/// the same length. Slopes stay within fixed factors of the prior, so that outliers and wrong load
/// figures change a forecast within bounds.
/// @ingroup forwarding
class LoadFit {
 public:
  /// @brief Milliseconds at no load, per prompt token and per other request.
  struct Coefficients {
    double base = 0.0;
    double per_token = 0.0;
    double per_request = 0.0;
  };

  /// @brief Fit of the time to the first event.
  static LoadFit ForFirstEvents();

  /// @brief Fit of the longest gap between two events.
  static LoadFit ForPauses();

  /// @brief Records a time at a load.
  void Add(double tokens, double requests, double milliseconds);

  /// @brief Expected time at a load.
  double Expect(double tokens, double requests) const;

  /// @brief Time that nine of ten samples at the load don't exceed.
  double Bound(double tokens, double requests) const;

  double PerToken() const { return fitted_.per_token; }

  /// @brief Number of samples, with decay.
  double Samples() const { return samples_; }

 private:
  explicit LoadFit(const Coefficients& prior);

  void Solve();

  Coefficients prior_;
  Coefficients fitted_;
  std::array<std::array<double, 3>, 3> products_{};  // sums of products of the scaled features
  std::array<double, 3> targets_{};                  // sums of products with the time
  double samples_ = 0.0;
  double relative_error_ = 0.0;  // smoothed square of (time - expected) / expected
};

}  // namespace rudderloom

#endif
