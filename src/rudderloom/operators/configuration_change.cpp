#include "rudderloom/operators/configuration_change.hpp"

#include "rudderloom/base/log_line.hpp"  // for LogLine

namespace rudderloom {

namespace {

constexpr std::string_view kCurrent = "current";
constexpr SettleTimes kSettle{Duration(4'000), Duration(100)};

}  // namespace

std::variant<Configuration, JsonErrors> Changed(const Configuration& before,
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
    if (auto* mistakes = std::get_if<JsonErrors>(&merged)) {
      return std::move(*mistakes);
    }
    after.sets[apply.set] = std::get<DeclarationSet>(merged);
  }
  auto catalog = ReadCatalog(after.sets);
  if (auto* mistakes = std::get_if<JsonErrors>(&catalog)) {
    return std::move(*mistakes);
  }
  after.catalog = std::move(std::get<Catalog>(catalog));
  return after;
}

ConfigurationChanger::ConfigurationChanger(asio::io_context& context,
                                           ObjectStore& store,
                                           std::function<void(ConfigurationPtr)> accepted)
    : context_(context), store_(store), accepted_(std::move(accepted)) {}

Awaitable<std::variant<ConfigurationChanger::Present, ChangeResult>>
ConfigurationChanger::ReadPresent() {
  auto got = co_await store_.Get(std::string(object_kind::kConfigurations), std::string(kCurrent));
  Present present;
  if (auto* object = std::get_if<StoredObject>(&got)) {
    auto read = ConfigurationFromJson(object->spec);
    if (auto* mistakes = std::get_if<JsonErrors>(&read)) {
      co_return ChangeResult(ChangeInvalid{std::move(*mistakes)});
    }
    present.configuration = std::move(std::get<Configuration>(read));
    present.object = std::move(*object);
    co_return present;
  }
  const StoreError& error = std::get<StoreError>(got);
  if (error.kind != StoreError::Kind::kNotFound) {
    co_return ChangeResult(ChangeUnreachable{std::string(NameOf(error.kind))});
  }
  present.object.name = kCurrent;
  present.object.version = kMustNotExist;
  co_return present;
}

Awaitable<ChangeResult> ConfigurationChanger::Make(ChangeRequest request) {
  auto read = co_await ReadPresent();
  if (auto* refused = std::get_if<ChangeResult>(&read)) {
    co_return std::move(*refused);
  }
  Present present = std::move(std::get<Present>(read));
  const std::uint64_t generation = present.configuration.generation;
  if (present.object.WrittenBy(request.token)) {
    co_return ChangeAccepted{generation};
  }
  if (generation != request.expected_generation) {
    co_return ChangeConflict{generation, present.configuration.author};
  }
  auto changed = Changed(present.configuration, request);
  if (auto* mistakes = std::get_if<JsonErrors>(&changed)) {
    co_return ChangeInvalid{std::move(*mistakes)};
  }
  Configuration after = std::move(std::get<Configuration>(changed));
  if (after.sets == present.configuration.sets && after.drained == present.configuration.drained) {
    co_return ChangeUnchanged{generation};
  }
  co_return co_await Write(std::move(present), std::move(after), std::move(request));
}

Awaitable<ChangeResult> ConfigurationChanger::Write(Present present,
                                                    Configuration changed,
                                                    ChangeRequest request) {
  StoredObject object = std::move(present.object);
  object.spec = ToJson(changed);
  auto written = co_await PutSettled(context_, store_, std::string(object_kind::kConfigurations),
                                     std::move(object), request.token, kSettle);
  if (std::holds_alternative<StoredObject>(written)) {
    const std::uint64_t generation = changed.generation;
    LogLine("configuration_accepted").With("generation", generation).With("author", request.author);
    accepted_(std::make_shared<const Configuration>(std::move(changed)));
    co_return ChangeAccepted{generation};
  }
  const StoreError error = std::get<StoreError>(written);
  switch (error.kind) {
    case StoreError::Kind::kConflict: {
      auto winner = co_await ReadPresent();
      if (auto* refused = std::get_if<ChangeResult>(&winner)) {
        co_return std::move(*refused);
      }
      const Configuration& won = std::get<Present>(winner).configuration;
      co_return ChangeConflict{won.generation, won.author};
    }
    case StoreError::Kind::kRefused: {
      JsonErrors mistakes;
      mistakes.push_back({"/", "the platform refused it: " + error.message});
      co_return ChangeInvalid{std::move(mistakes)};
    }
    case StoreError::Kind::kUnknown:
      co_return ChangeUnknown{request.token};
    default:
      co_return ChangeUnreachable{std::string(NameOf(error.kind))};
  }
}

}  // namespace rudderloom
