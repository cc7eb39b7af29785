#include "rudderloom/configuration/configuration.hpp"

namespace rudderloom {

namespace json = boost::json;

json::object ToJson(const Configuration& configuration) {
  json::object sets;
  for (const auto& [name, set] : configuration.sets) {
    sets[name] = set;
  }
  json::array drained;
  for (const std::string& name : configuration.drained) {
    drained.emplace_back(name);
  }
  return {{"generation", configuration.generation},
          {"author", configuration.author},
          {"sets", sets},
          {"drained", drained}};
}

std::variant<Configuration, JsonErrors> ConfigurationFromJson(const json::object& object) {
  JsonErrors errors;
  Configuration configuration;
  ObjectReader reader(object, "", errors);
  configuration.generation = static_cast<std::uint64_t>(
      reader.Integer("generation", 0, std::numeric_limits<std::int64_t>::max()));
  configuration.author = reader.String("author", "");
  for (const std::string& name : reader.Strings("drained")) {
    configuration.drained.insert(name);
  }
  const json::value* sets = object.if_contains("sets");
  if (sets != nullptr && sets->is_object()) {
    for (const auto& member : sets->as_object()) {
      if (member.value().is_object()) {
        configuration.sets[std::string(member.key())] = member.value().as_object();
      }
    }
  }
  auto catalog = ReadCatalog(configuration.sets);
  if (auto* nested_errors = std::get_if<JsonErrors>(&catalog)) {
    errors.insert(errors.end(), nested_errors->begin(), nested_errors->end());
  }
  if (!errors.empty()) {
    return errors;
  }
  configuration.catalog = std::move(std::get<Catalog>(catalog));
  return configuration;
}

bool ConfigurationKeeper::Offer(ConfigurationPtr offered) {
  if (offered->generation <= in_force_->generation) {
    stale_ += offered->generation < in_force_->generation ? 1 : 0;
    return false;
  }
  in_force_ = std::move(offered);
  return true;
}

}  // namespace rudderloom
