#include "rudderloom/stream_versions/start_batch.hpp"

#include "rudderloom/base/json_fields.hpp"  // for NumberAt

namespace rudderloom {

namespace json = boost::json;

// Ids are grouped by version, of which there are few.
json::object ToJson(const StartBatch& batch) {
  json::object starts;
  for (const StreamStart& start : batch.starts) {
    json::value& ids = starts[start.software_version];
    if (!ids.is_array()) {
      ids.emplace_array();
    }
    ids.as_array().emplace_back(start.began_as);
  }
  return {{"number", batch.number}, {"starts", std::move(starts)}};
}

StartBatch StartBatchFromJson(const json::object& object) {
  StartBatch batch;
  batch.number = NumberAt(object, "number");
  const json::value* starts = object.if_contains("starts");
  if (starts == nullptr || !starts->is_object()) {
    return batch;
  }
  for (const auto& [version, ids] : starts->as_object()) {
    if (!ids.is_array()) {
      continue;
    }
    for (const json::value& id : ids.as_array()) {
      if (id.is_string()) {
        batch.starts.push_back({std::string(id.as_string()), std::string(version)});
      }
    }
  }
  return batch;
}

}  // namespace rudderloom
