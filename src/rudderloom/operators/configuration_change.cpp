#include "rudderloom/operators/configuration_change.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

constexpr std::string_view kObjectName = "current";
constexpr ConfirmTimes kConfirmTimes{Duration(4'000), Duration(100)};

}  // namespace

std::variant<Configuration, JsonErrors> ApplyChange(const Configuration& before,
                                                    const ChangeRequest& request) {
  Configuration after = before;
  after.generation = before.generation + 1;
  after.author = request.author;
  if (const auto* drain = std::get_if<DrainEndpoint>(&request.what)) {
    if (drain->endpoint.empty()) {
      return JsonErrors{{"/endpoint", "is empty"}};
    }
    if (drain->undo) {
      after.drained.erase(drain->endpoint);
    } else {
      after.drained.insert(drain->endpoint);
    }
    return after;
  }
  const auto& apply = std::get<ApplySet>(request.what);
  if (apply.set.empty()) {
    return JsonErrors{{"/set", "is empty"}};
  }
  if (apply.files.empty()) {
    after.sets.erase(apply.set);
  } else {
    auto merged = MergeFiles(apply.files);
    if (auto* validation_errors = std::get_if<JsonErrors>(&merged)) {
      return std::move(*validation_errors);
    }
    after.sets[apply.set] = std::get<DeclarationSet>(merged);
  }
  auto catalog = ReadCatalog(after.sets);
  if (auto* validation_errors = std::get_if<JsonErrors>(&catalog)) {
    return std::move(*validation_errors);
  }
  after.catalog = std::move(std::get<Catalog>(catalog));
  return after;
}

ConfigurationChanger::ConfigurationChanger(asio::io_context& context,
                                           ObjectStore& store,
                                           std::function<void(ConfigurationPtr)> accepted)
    : context_(context), store_(store), accepted_(std::move(accepted)) {}

Awaitable<std::variant<ConfigurationChanger::StoredConfiguration, ChangeResult>>
ConfigurationChanger::ReadStored() {
  auto fetched =
      co_await store_.Get(std::string(object_kind::kConfigurations), std::string(kObjectName));
  StoredConfiguration stored;
  if (auto* object = std::get_if<StoredObject>(&fetched)) {
    auto read = ConfigurationFromJson(object->spec);
    if (auto* validation_errors = std::get_if<JsonErrors>(&read)) {
      co_return ChangeResult(ChangeInvalid{std::move(*validation_errors)});
    }
    stored.configuration = std::move(std::get<Configuration>(read));
    stored.object = std::move(*object);
    co_return stored;
  }
  const StoreError& error = std::get<StoreError>(fetched);
  if (error.kind != StoreError::Kind::kNotFound) {
    co_return ChangeResult(ChangeUnreachable{std::string(NameOf(error.kind))});
  }
  stored.object.name = kObjectName;
  stored.object.version = kMustNotExist;
  co_return stored;
}

Awaitable<ChangeResult> ConfigurationChanger::Make(ChangeRequest request) {
  auto read = co_await ReadStored();
  if (auto* refused = std::get_if<ChangeResult>(&read)) {
    co_return std::move(*refused);
  }
  StoredConfiguration stored = std::move(std::get<StoredConfiguration>(read));
  const std::uint64_t generation = stored.configuration.generation;
  if (stored.object.WrittenBy(request.token)) {
    co_return ChangeAccepted{generation};
  }
  if (generation != request.expected_generation) {
    co_return ChangeConflict{generation, stored.configuration.author};
  }
  auto changed = ApplyChange(stored.configuration, request);
  if (auto* validation_errors = std::get_if<JsonErrors>(&changed)) {
    co_return ChangeInvalid{std::move(*validation_errors)};
  }
  Configuration after = std::move(std::get<Configuration>(changed));
  if (after.sets == stored.configuration.sets && after.drained == stored.configuration.drained) {
    co_return ChangeUnchanged{generation};
  }
  co_return co_await Write(std::move(stored), std::move(after), std::move(request));
}

Awaitable<ChangeResult> ConfigurationChanger::Write(StoredConfiguration stored,
                                                    Configuration changed,
                                                    ChangeRequest request) {
  StoredObject object = std::move(stored.object);
  object.spec = ToJson(changed);
  auto written = co_await PutAndConfirm(context_, store_, std::string(object_kind::kConfigurations),
                                        std::move(object), request.token, kConfirmTimes);
  if (std::holds_alternative<StoredObject>(written)) {
    const std::uint64_t generation = changed.generation;
    LogLine("configuration_accepted").With("generation", generation).With("author", request.author);
    accepted_(std::make_shared<const Configuration>(std::move(changed)));
    co_return ChangeAccepted{generation};
  }
  const StoreError error = std::get<StoreError>(written);
  switch (error.kind) {
    case StoreError::Kind::kConflict: {
      auto reread = co_await ReadStored();
      if (auto* refused = std::get_if<ChangeResult>(&reread)) {
        co_return std::move(*refused);
      }
      const Configuration& current = std::get<StoredConfiguration>(reread).configuration;
      co_return ChangeConflict{current.generation, current.author};
    }
    case StoreError::Kind::kRefused: {
      JsonErrors validation_errors;
      validation_errors.push_back(
          {"/", "the platform rejected the configuration: " + error.message});
      co_return ChangeInvalid{std::move(validation_errors)};
    }
    case StoreError::Kind::kUnknown:
      co_return ChangeUnknown{request.token};
    default:
      co_return ChangeUnreachable{std::string(NameOf(error.kind))};
  }
}

}  // namespace rudderloom
