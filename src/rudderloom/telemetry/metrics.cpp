#include "rudderloom/telemetry/metrics.hpp"

#include <boost/histogram.hpp>  // for make_histogram, axis
#include <map>                  // for map
#include <mutex>                // for mutex, lock_guard
#include <sstream>              // for ostringstream
#include <utility>              // for pair

namespace rudderloom {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 28;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 1000.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Latencies = decltype(bh::make_histogram(LogAxis(kBins, kMinSeconds, kMaxSeconds)));

struct Histogram {
  Latencies latencies = bh::make_histogram(LogAxis(kBins, kMinSeconds, kMaxSeconds));
  double sum = 0.0;
  std::uint64_t count = 0;
};

// Name and labels. The name comes first, so that all series of one metric are adjacent.
using Key = std::pair<std::string, std::string>;

Key KeyOf(const Series& series) {
  std::string labels;
  if (!series.label.empty()) {
    labels = std::string(series.label) + "=\"" + std::string(series.value) + "\"";
  }
  return {std::string(series.name), labels};
}

std::string InBraces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

template <class Map>
void WriteValues(std::ostringstream& out, const Map& values, const char* type) {
  std::string previous_name;
  for (const auto& [key, value] : values) {
    if (key.first != previous_name) {
      out << "# TYPE " << key.first << ' ' << type << '\n';
      previous_name = key.first;
    }
    out << key.first << InBraces(key.second) << ' ' << value << '\n';
  }
}

void WriteHistogram(std::ostringstream& out, const Key& key, const Histogram& histogram) {
  const std::string prefix = key.second.empty() ? "" : key.second + ",";
  double cumulative = histogram.latencies.at(-1);
  for (int i = 0; i < static_cast<int>(kBins); ++i) {
    cumulative += histogram.latencies.at(i);
    const double upper = histogram.latencies.axis().bin(i).upper();
    out << key.first << "_bucket{" << prefix << "le=\"" << upper << "\"} " << cumulative << '\n';
  }
  out << key.first << "_bucket{" << prefix << "le=\"+Inf\"} " << histogram.count << '\n';
  out << key.first << "_sum" << InBraces(key.second) << ' ' << histogram.sum << '\n';
  out << key.first << "_count" << InBraces(key.second) << ' ' << histogram.count << '\n';
}

}  // namespace

struct Metrics::Impl {
  mutable std::mutex mutex;
  std::map<Key, std::uint64_t> counters;
  std::map<Key, double> gauges;
  std::map<Key, Histogram> histograms;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::Count(const Series& series, std::uint64_t by) {
  const std::lock_guard lock(impl_->mutex);
  impl_->counters[KeyOf(series)] += by;
}

void Metrics::Set(const Series& series, double value) {
  const std::lock_guard lock(impl_->mutex);
  impl_->gauges[KeyOf(series)] = value;
}

void Metrics::Observe(const Series& series, double seconds) {
  const std::lock_guard lock(impl_->mutex);
  Histogram& histogram = impl_->histograms[KeyOf(series)];
  histogram.latencies(seconds);
  histogram.sum += seconds;
  ++histogram.count;
}

std::uint64_t Metrics::Value(const Series& series) const {
  const std::lock_guard lock(impl_->mutex);
  const auto found = impl_->counters.find(KeyOf(series));
  return found == impl_->counters.end() ? 0 : found->second;
}

std::string Metrics::Text() const {
  const std::lock_guard lock(impl_->mutex);
  std::ostringstream out;
  WriteValues(out, impl_->counters, "counter");
  WriteValues(out, impl_->gauges, "gauge");
  std::string previous_name;
  for (const auto& [key, histogram] : impl_->histograms) {
    if (key.first != previous_name) {
      out << "# TYPE " << key.first << " histogram\n";
      previous_name = key.first;
    }
    WriteHistogram(out, key, histogram);
  }
  return out.str();
}

}  // namespace rudderloom
