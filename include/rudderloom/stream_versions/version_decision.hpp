/// @file
/// Decides at which software version a stream may go on, by what several nodes know of it.
#ifndef RUDDERLOOM_STREAM_VERSIONS_VERSION_DECISION_HPP
#define RUDDERLOOM_STREAM_VERSIONS_VERSION_DECISION_HPP

#include <optional>  // for optional
#include <string>    // for string
#include <vector>    // for vector

#include "rudderloom/stream_versions/kept_starts.hpp"  // for StreamAnswer

namespace rudderloom {

/// @brief What a node has found out about a stream that it did not begin itself.
/// @ingroup stream_versions
struct StreamInquiry {
  StreamAnswer own;  ///< What the node knows of versions itself.
  /// @brief Of the nodes that keep starts of streams; empty for one that didn't answer.
  std::vector<std::optional<StreamAnswer>> answers;
  bool all_asked = false;  ///< No further node is known to keep starts.
  bool last_try = false;   ///< They are not asked again.
};

/// @brief Outcome of an inquiry.
/// @ingroup stream_versions
enum class VersionVerdict {
  kBegan,     ///< The version at which the stream began is known.
  kOnly,      ///< It began at the only version that has served lately.
  kFirst,     ///< It began at the version that was the only one before, as no node knows it.
  kUnknown,   ///< It is not known.
  kAskAgain,  ///< Some node may know more by and by.
};

/// @brief A verdict with the version.
/// @ingroup stream_versions
struct VersionDecision {
  VersionVerdict verdict = VersionVerdict::kUnknown;
  /// @brief Empty with `kOnly` if the service's endpoints state none.
  std::string software_version;
};

/// @brief Decides by the answers so far.
///
/// That a node has seen a single version proves nothing: it may have started after another one had
/// gone, or be cut off from news. The lease holder's word does, as each version is written to the
/// lease record; so does the holder's word at which version streams began that it doesn't know,
/// unless another node has seen a version that the holder hasn't. While nobody holds the lease, a
/// node relies on what it has seen itself, if half of the other nodes that keep starts answer and
/// none of them has seen a further version. Nodes that know the stream at different versions don't
/// know which of them began it.
/// @ingroup stream_versions
VersionDecision DecideVersion(const StreamInquiry& inquiry);

}  // namespace rudderloom

#endif
