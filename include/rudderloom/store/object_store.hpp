/// @file
/// Client interface of the platform's object API: versioned objects, conditional updates and
/// watches. Follows the Kubernetes API conventions (resourceVersion, 409, 410, bookmarks).
#ifndef RUDDERLOOM_STORE_OBJECT_STORE_HPP
#define RUDDERLOOM_STORE_OBJECT_STORE_HPP

#include <boost/json.hpp>  // for object
#include <functional>      // for function
#include <memory>          // for unique_ptr
#include <optional>        // for optional
#include <string>          // for string
#include <string_view>     // for string_view
#include <variant>         // for variant
#include <vector>          // for vector

#include "rudderloom/base/clock.hpp"           // for Duration
#include "rudderloom/base/store_revision.hpp"  // for StoreRevision
#include "rudderloom/http/asio.hpp"            // for Awaitable

namespace rudderloom {

/// @brief The kinds of objects that are stored in the platform.
/// @ingroup store
namespace object_kind {
inline constexpr std::string_view kConfigurations = "configurations";
inline constexpr std::string_view kEndpoints = "endpoints";
inline constexpr std::string_view kNodes = "nodes";
inline constexpr std::string_view kPools = "pools";
inline constexpr std::string_view kClaims = "claims";
}  // namespace object_kind

/// @brief Expected version for a conditional write that creates the object.
/// @ingroup store
inline constexpr StoreRevision kMustNotExist{};

/// @brief An object with its version and the tokens of its latest writers.
/// @ingroup store
struct StoredObject {
  std::string name;
  std::optional<StoreRevision> version;  ///< Empty in a write: unconditional.
  std::vector<std::string> writers;      ///< Latest first, at most 16.
  boost::json::object spec;

  /// @brief Returns true if the write with this token took effect.
  bool WrittenBy(const std::string& token) const;
};

/// @brief Error of a call to the platform.
/// @ingroup store
struct StoreError {
  enum class Kind {
    kConflict,     ///< The version differs; the write did not take effect.
    kNotFound,     ///< The object does not exist.
    kExpired,      ///< The version of the watch was compacted; list again.
    kThrottled,    ///< Rate limit exceeded; the call had no effect.
    kRefused,      ///< Invalid or too large; the call had no effect.
    kUnreachable,  ///< The request was not sent.
    kUnknown,      ///< A write may or may not have taken effect.
  };
  Kind kind = Kind::kUnreachable;
  std::string message;
  std::uint64_t era = 0;  ///< Era of the store, if it responded.
};

/// @brief Returns the name of an error kind for logs and metrics.
/// @ingroup store
std::string_view NameOf(StoreError::Kind kind);

/// @brief A list of objects and the version at which a watch can continue.
/// @ingroup store
struct ObjectList {
  std::vector<StoredObject> objects;
  StoreRevision version;
};

/// @brief An event of a watch.
/// @ingroup store
struct WatchEvent {
  enum class Kind { kPut, kGone, kBookmark };
  Kind kind = Kind::kBookmark;
  StoredObject object;  ///< A bookmark has only a version.
};

/// @brief Client of the object API. Calls may be repeated, and none throws.
/// @ingroup store
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual Awaitable<std::variant<StoredObject, StoreError>> Get(std::string kind,
                                                                std::string name) = 0;
  virtual Awaitable<std::variant<ObjectList, StoreError>> List(std::string kind) = 0;

  /// @brief Returns a list that may be seconds old, if the platform offers one at a lower cost.
  virtual Awaitable<std::variant<ObjectList, StoreError>> ListStale(std::string kind) {
    return List(std::move(kind));
  }

  /// @brief Like Watch, but ends after `time` even if there are no changes.
  virtual Awaitable<StoreError> WatchFor(std::string kind,
                                         StoreRevision version,
                                         Duration /*time*/,
                                         std::function<void(WatchEvent)> on_event) {
    return Watch(std::move(kind), version, std::move(on_event));
  }

  /// @brief Writes an object. If it has a version, the write fails unless that is the current one.
  virtual Awaitable<std::variant<StoredObject, StoreError>> Put(std::string kind,
                                                                StoredObject object) = 0;
  virtual Awaitable<std::variant<std::monostate, StoreError>> Delete(std::string kind,
                                                                     std::string name) = 0;

  /// @brief Reports that another process has seen a newer era of the store. Watches that continue
  /// from a revision of an older era end with kExpired.
  virtual void NoteEra(std::uint64_t /*era*/) {}

  /// @brief Reports changes after `version` until the watch ends. Returns why it ended, never
  /// kNotFound. A normal end returns kUnreachable with an empty message.
  virtual Awaitable<StoreError> Watch(std::string kind,
                                      StoreRevision version,
                                      std::function<void(WatchEvent)> on_event) = 0;
};

/// @brief Called for each call with its verb, kind and the bytes sent and received.
/// @ingroup store
using CallObserver = std::function<void(std::string_view verb, std::string_view kind, std::size_t)>;

/// @brief Creates a client of the object API over HTTP/JSON.
/// @ingroup store
std::unique_ptr<ObjectStore> MakeHttpObjectStore(asio::io_context& context,
                                                 std::string address,
                                                 Duration call_time,
                                                 Duration watch_time,
                                                 CallObserver observer);

/// @brief Time limit and retry delay for confirming a write whose outcome is unknown.
/// @ingroup store
struct ConfirmTimes {
  Duration limit{3'000};
  Duration pause{100};
};

/// @brief Writes an object conditionally. If the response is lost, reads the object back and checks
/// for the writer's token. Returns the stored object or an error; kUnknown only if the outcome
/// could not be determined within the time limit.
/// @ingroup store
Awaitable<std::variant<StoredObject, StoreError>> PutAndConfirm(asio::io_context& context,
                                                                ObjectStore& store,
                                                                std::string kind,
                                                                StoredObject object,
                                                                std::string token,
                                                                ConfirmTimes times);

}  // namespace rudderloom

#endif
