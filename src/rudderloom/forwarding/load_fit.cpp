#include "rudderloom/forwarding/load_fit.hpp"

#include <algorithm>  // for clamp, max, min
#include <cmath>      // for abs, sqrt
#include <utility>    // for swap

namespace rudderloom {

namespace {

// Decay per new sample: about fifty samples are effective.
constexpr double kDecay = 0.02;
// Weight of the prior, in samples.
constexpr double kPriorSamples = 3.0;
// Units that give all features a size of about one.
constexpr double kTokenScale = 2'000.0;
constexpr double kRequestScale = 10.0;
// Slopes stay within these factors of the prior.
constexpr double kMinSlopeFactor = 0.25;
constexpr double kMaxSlopeFactor = 8.0;
// A sample counts as at most so many times the expected time: a stalled endpoint says nothing of
// its load.
constexpr double kMaxSampleFactor = 4.0;
constexpr double kMinExpectedTime = 20.0;  // milliseconds
// Larger loads are taken for these: reports may be wrong.
constexpr double kMaxTokens = 100'000.0;
constexpr double kMaxRequests = 500.0;
// 0.9 quantile in standard deviations: 1.28 for a normal distribution, and some more because the
// deviation and the fit are themselves estimated from about fifty samples.
constexpr double kBoundDeviations = 1.4;
constexpr double kPriorRelativeError = 0.04;  // square of a deviation by a fifth
constexpr double kMaxRelativeError = 0.25;

// Rates of a fast engine, so that no request is refused before the actual rates are known.
constexpr LoadFit::Coefficients kFirstEventPrior{30.0, 0.025, 1.0};
constexpr LoadFit::Coefficients kPausePrior{30.0, 0.0125, 0.5};

// Solves a system of three linear equations by elimination with partial pivoting.
std::array<double, 3> SolveSystem(std::array<std::array<double, 3>, 3> matrix,
                                  std::array<double, 3> right) {
  for (std::size_t column = 0; column < 3; ++column) {
    std::size_t pivot = column;
    for (std::size_t row = column + 1; row < 3; ++row) {
      if (std::abs(matrix[row][column]) > std::abs(matrix[pivot][column])) {
        pivot = row;
      }
    }
    std::swap(matrix[column], matrix[pivot]);
    std::swap(right[column], right[pivot]);
    for (std::size_t row = column + 1; row < 3; ++row) {
      const double factor = matrix[row][column] / matrix[column][column];
      for (std::size_t i = column; i < 3; ++i) {
        matrix[row][i] -= factor * matrix[column][i];
      }
      right[row] -= factor * right[column];
    }
  }
  std::array<double, 3> solution{};
  for (std::size_t row = 3; row-- > 0;) {
    double sum = right[row];
    for (std::size_t i = row + 1; i < 3; ++i) {
      sum -= matrix[row][i] * solution[i];
    }
    solution[row] = sum / matrix[row][row];
  }
  return solution;
}

}  // namespace

LoadFit LoadFit::ForFirstEvents() {
  return LoadFit(kFirstEventPrior);
}

LoadFit LoadFit::ForPauses() {
  return LoadFit(kPausePrior);
}

LoadFit::LoadFit(const Coefficients& prior)
    : prior_(prior), fitted_(prior), relative_error_(kPriorRelativeError) {}

void LoadFit::Add(double reported_tokens, double reported_requests, double milliseconds) {
  const double tokens = std::clamp(reported_tokens, 0.0, kMaxTokens);
  const double requests = std::clamp(reported_requests, 0.0, kMaxRequests);
  const double expected = std::max(kMinExpectedTime, Expect(tokens, requests));
  const double time = std::clamp(milliseconds, 0.0, kMaxSampleFactor * expected);
  const double deviation = (time - expected) / expected;
  relative_error_ = std::min(kMaxRelativeError,
                             (1.0 - kDecay) * relative_error_ + kDecay * deviation * deviation);
  const std::array<double, 3> features{1.0, tokens / kTokenScale, requests / kRequestScale};
  const double retained = 1.0 - kDecay;
  samples_ = samples_ * retained + 1.0;
  for (std::size_t row = 0; row < 3; ++row) {
    for (std::size_t column = 0; column < 3; ++column) {
      products_[row][column] = products_[row][column] * retained + features[row] * features[column];
    }
    targets_[row] = targets_[row] * retained + features[row] * time;
  }
  Solve();
}

void LoadFit::Solve() {
  const std::array<double, 3> prior{prior_.base, prior_.per_token * kTokenScale,
                                    prior_.per_request * kRequestScale};
  auto matrix = products_;
  auto right = targets_;
  for (std::size_t i = 0; i < 3; ++i) {
    matrix[i][i] += kPriorSamples;
    right[i] += kPriorSamples * prior[i];
  }
  const auto solution = SolveSystem(matrix, right);
  const auto bounded = [](double slope, double expected) {
    return std::clamp(slope, kMinSlopeFactor * expected, kMaxSlopeFactor * expected);
  };
  fitted_.per_token = bounded(solution[1] / kTokenScale, prior_.per_token);
  fitted_.per_request = bounded(solution[2] / kRequestScale, prior_.per_request);
  // With bounded slopes, the best base is the one that meets the mean.
  const double rest = targets_[0] - fitted_.per_token * kTokenScale * products_[0][1] -
                      fitted_.per_request * kRequestScale * products_[0][2];
  fitted_.base = std::max(0.0, (rest + kPriorSamples * prior_.base) / (samples_ + kPriorSamples));
}

double LoadFit::Expect(double tokens, double requests) const {
  return fitted_.base + fitted_.per_token * std::min(tokens, kMaxTokens) +
         fitted_.per_request * std::min(requests, kMaxRequests);
}

double LoadFit::Bound(double tokens, double requests) const {
  return Expect(tokens, requests) * (1.0 + kBoundDeviations * std::sqrt(relative_error_));
}

}  // namespace rudderloom
