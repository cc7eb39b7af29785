#include "rudderloom/residency/pool_record.hpp"

#include <array>  // for array

#include "rudderloom/base/json_reader.hpp"  // for ObjectReader

namespace rudderloom {

namespace json = boost::json;

namespace {

constexpr std::array kStates{UnitState::kLoading, UnitState::kResident, UnitState::kUnloading,
                             UnitState::kLingering};

std::optional<UnitState> StateOf(std::string_view name) {
  for (const UnitState state : kStates) {
    if (NameOf(state) == name) {
      return state;
    }
  }
  return std::nullopt;
}

json::object ReservationJson(const UnitKey& key, const Reservation& reservation) {
  json::object object{{"endpoint", key.first},
                      {"unit", key.second},
                      {"state", NameOf(reservation.state)},
                      {"memory", reservation.memory},
                      {"sequence", reservation.sequence}};
  if (!reservation.senders.empty()) {
    json::array senders;
    for (const std::string& sender : reservation.senders) {
      senders.emplace_back(sender);
    }
    object["senders"] = senders;
  }
  return object;
}

std::uint64_t ReadCount(ObjectReader& reader, std::string_view key) {
  return static_cast<std::uint64_t>(
      reader.Integer(key, 0, std::numeric_limits<std::int64_t>::max()));
}

}  // namespace

std::string_view NameOf(UnitState state) {
  switch (state) {
    case UnitState::kLoading:
      return "loading";
    case UnitState::kResident:
      return "resident";
    case UnitState::kUnloading:
      return "unloading";
    case UnitState::kLingering:
      return "lingering";
  }
  return "loading";
}

json::object ToJson(const PoolRecord& record) {
  json::array reservations;
  for (const auto& [key, reservation] : record.reservations) {
    reservations.push_back(ReservationJson(key, reservation));
  }
  return {{"holder", record.holder},     {"incarnation", record.incarnation},
          {"epoch", record.epoch},       {"renewals", record.renewals},
          {"sequence", record.sequence}, {"reservations", reservations}};
}

std::optional<PoolRecord> PoolRecordFromJson(const json::object& object) {
  JsonErrors errors;
  PoolRecord record;
  ObjectReader reader(object, "", errors);
  record.holder = reader.String("holder", "");
  record.incarnation = reader.String("incarnation", "");
  record.epoch = ReadCount(reader, "epoch");
  record.renewals = ReadCount(reader, "renewals");
  record.sequence = ReadCount(reader, "sequence");
  reader.Objects("reservations", [&](ObjectReader& item) {
    Reservation reservation;
    const UnitKey key{item.String("endpoint"), item.String("unit")};
    const auto state = StateOf(item.String("state"));
    if (!state) {
      item.Fail("state", "is not a known state");
      return;
    }
    reservation.state = *state;
    reservation.memory = ReadCount(item, "memory");
    reservation.sequence = ReadCount(item, "sequence");
    for (const std::string& sender : item.Strings("senders")) {
      reservation.senders.insert(sender);
    }
    record.reservations[key] = reservation;
  });
  if (!errors.empty()) {
    return std::nullopt;
  }
  return record;
}

}  // namespace rudderloom
