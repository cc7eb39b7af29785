/// @file
/// Configuration changes by operators.
#ifndef RUDDERLOOM_OPERATORS_CONFIGURATION_CHANGE_HPP
#define RUDDERLOOM_OPERATORS_CONFIGURATION_CHANGE_HPP

#include <functional>  // for function
#include <string>      // for string
#include <variant>     // for variant
#include <vector>      // for vector

#include "rudderloom/configuration/configuration.hpp"  // for Configuration
#include "rudderloom/store/object_store.hpp"           // for ObjectStore

namespace rudderloom {

/// @brief Replaces a declaration set. An empty list of files removes it.
/// @ingroup operators
struct ApplySet {
  std::string set;
  std::vector<DeclarationFile> files;
};

/// @brief Takes an endpoint out of service or returns it to service.
/// @ingroup operators
struct DrainEndpoint {
  std::string endpoint;
  bool undo = false;
};

/// @brief A change relative to the generation that its author has seen.
/// @ingroup operators
struct ChangeRequest {
  std::string author;
  std::string token;
  std::uint64_t expected_generation = 0;
  std::variant<ApplySet, DrainEndpoint> what;
};

/// @brief The change took effect with this generation.
/// @ingroup operators
struct ChangeAccepted {
  std::uint64_t generation = 0;
};

/// @brief The change has no effect on this generation; nothing was written.
/// @ingroup operators
struct ChangeUnchanged {
  std::uint64_t generation = 0;
};

/// @brief Another change was accepted first; these are its generation and author.
/// @ingroup operators
struct ChangeConflict {
  std::uint64_t generation = 0;
  std::string author;
};

/// @brief The change is invalid.
/// @ingroup operators
struct ChangeInvalid {
  JsonErrors validation_errors;
};

/// @brief The platform is unavailable; nothing was changed.
/// @ingroup operators
struct ChangeUnreachable {
  std::string message;
};

/// @brief The outcome is unknown. Retry with the same token to find it out.
/// @ingroup operators
struct ChangeUnknown {
  std::string token;
};

/// @brief Result of a change.
/// @ingroup operators
using ChangeResult = std::variant<ChangeAccepted,
                                  ChangeUnchanged,
                                  ChangeConflict,
                                  ChangeInvalid,
                                  ChangeUnreachable,
                                  ChangeUnknown>;

/// @brief Returns the configuration after a change, or its validation errors.
/// @ingroup operators
std::variant<Configuration, JsonErrors> ApplyChange(const Configuration& before,
                                                    const ChangeRequest& request);

/// @brief Applies changes by conditional updates of the object on the platform.
/// @ingroup operators
class ConfigurationChanger {
 public:
  /// @param accepted Called with each configuration that this process has written.
  ConfigurationChanger(asio::io_context& context,
                       ObjectStore& store,
                       std::function<void(ConfigurationPtr)> accepted);

  /// @brief Applies a change. It is safe to retry with the same token.
  Awaitable<ChangeResult> Make(ChangeRequest request);

 private:
  struct StoredConfiguration {
    Configuration configuration;
    StoredObject object;
  };
  Awaitable<std::variant<StoredConfiguration, ChangeResult>> ReadStored();
  Awaitable<ChangeResult> Write(StoredConfiguration stored,
                                Configuration changed,
                                ChangeRequest request);

  asio::io_context& context_;
  ObjectStore& store_;
  std::function<void(ConfigurationPtr)> accepted_;
};

}  // namespace rudderloom

#endif
