#include "rudderloom/placement/lease_keeper.hpp"

#include <algorithm>   // for includes, max, min
#include <charconv>    // for from_chars
#include <functional>  // for hash
#include <tuple>       // for tie

#include "rudderloom/base/json_fields.hpp"  // for TextAt

namespace rudderloom {

namespace {

constexpr const char* kMustNotExistYet = "0";
constexpr std::size_t kWriteStartsKept = 16;
// So that not all nodes try at one moment.
constexpr Duration::rep kSpreadMilliseconds = 200;
// A node with a whole core lets nobody go first; one with less waits this many milliseconds for
// each core's worth of time by which its work takes longer. Chosen so that the times of nodes with
// 0.5 and with 0.12 of a core (40 and 293) do not meet, spread included.
constexpr double kYieldOfOneCore = 40.0;
constexpr Duration kYieldMost{400};
// An order may still be connecting when its holder's time is over.
constexpr Duration kMargin{500};
// How much later than usual a renewal may come before its holder is given up.
constexpr Duration kRenewalSlack{500};
constexpr Duration kBetweenAnnouncements{30};
// A renewal takes some milliseconds; after so long something is wrong with it.
constexpr Duration kRenewalLate{250};

bool IsOlder(const LeaseRecord& left, const LeaseRecord& right) {
  return std::tie(left.epoch, left.renewals) < std::tie(right.epoch, right.renewals);
}

OrderScopes ScopesAt(const boost::json::object& object, std::string_view key) {
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  return found != nullptr && found->is_object() ? OrderScopesFromJson(found->as_object())
                                                : OrderScopes();
}

}  // namespace

namespace {

boost::json::array DigestsToJson(const std::set<RequestDigest>& digests) {
  boost::json::array array;
  for (const RequestDigest& digest : digests) {
    array.emplace_back(TextOf(digest));
  }
  return array;
}

std::set<RequestDigest> DigestsAt(const boost::json::object& object, std::string_view key) {
  std::set<RequestDigest> digests;
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_array()) {
    return digests;
  }
  for (const boost::json::value& value : found->as_array()) {
    if (!value.is_string()) {
      continue;
    }
    if (const auto digest = RequestDigestFromText(std::string_view(value.as_string()))) {
      digests.insert(*digest);
    }
  }
  return digests;
}

boost::json::object BalancesToJson(const LowBalances& balances) {
  boost::json::object object;
  for (const auto& [customer, level] : balances) {
    object[std::to_string(customer)] = level;
  }
  return object;
}

LowBalances BalancesAt(const boost::json::object& object, std::string_view key) {
  LowBalances balances;
  const boost::json::value* found = object.if_contains({key.data(), key.size()});
  if (found == nullptr || !found->is_object()) {
    return balances;
  }
  for (const auto& [name, level] : found->as_object()) {
    CustomerKey customer = 0;
    const auto parsed = std::from_chars(name.data(), name.data() + name.size(), customer);
    if (parsed.ec == std::errc() && level.is_int64()) {
      balances[customer] = level.as_int64();
    }
  }
  return balances;
}

}  // namespace

boost::json::object ToJson(const LeaseRecord& record) {
  return {{"holder", record.holder},
          {"incarnation", record.incarnation},
          {"epoch", record.epoch},
          {"renewals", record.renewals},
          {"released", record.released},
          {"own", ToJson(record.own)},
          {"inherited", ToJson(record.inherited)},
          {"low_balances", BalancesToJson(record.low_balances)},
          {"quarantined", DigestsToJson(record.quarantined)}};
}

LeaseRecord LeaseRecordFromJson(const boost::json::object& object) {
  LeaseRecord record;
  record.holder = TextAt(object, "holder");
  record.incarnation = TextAt(object, "incarnation");
  record.epoch = NumberAt(object, "epoch");
  record.renewals = NumberAt(object, "renewals");
  record.released = FlagAt(object, "released");
  record.own = ScopesAt(object, "own");
  record.inherited = ScopesAt(object, "inherited");
  record.low_balances = BalancesAt(object, "low_balances");
  record.quarantined = DigestsAt(object, "quarantined");
  return record;
}

Duration YieldTime(double processor_share) {
  const double slowness = std::max(0.0, 1.0 / processor_share - 1.0);
  return std::min(kYieldMost, Duration(static_cast<Duration::rep>(kYieldOfOneCore * slowness)));
}

LeaseKeeper::LeaseKeeper(std::string address,
                         std::string incarnation,
                         Duration bound,
                         Duration yield)
    : address_(std::move(address)),
      incarnation_(std::move(incarnation)),
      valid_for_(bound * 5 / 6),
      renew_every_(bound / 3),
      bound_(bound),
      yield_(yield) {
  const auto spread = static_cast<Duration::rep>(std::hash<std::string>{}(address_) %
                                                 static_cast<std::size_t>(kSpreadMilliseconds));
  suspect_after_ = renew_every_ + kRenewalSlack + yield + Duration(spread);
}

bool LeaseKeeper::IsMine(const LeaseRecord& record) const {
  return record.holder == address_ && record.incarnation == incarnation_;
}

bool LeaseKeeper::Seen(const std::optional<LeaseRecord>& record,
                       const std::string& version,
                       bool fresh,
                       TimePoint now) {
  // Who holds the lease may be learned from any read: it is taken only after a fresh one.
  const bool first_sight = version_.empty() && record.has_value();
  needs_read_ = needs_read_ && !fresh && !first_sight;
  const std::string seen = record ? version : kMustNotExistYet;
  if (seen == version_) {
    last_seen_ = now;
    read_fresh_at_ = fresh ? now : read_fresh_at_;
    return true;
  }
  // An answer may be older than what this process has read or written since it asked.
  if (record && IsOlder(*record, record_)) {
    return false;
  }
  version_ = seen;
  first_seen_ = now;
  last_seen_ = now;
  read_fresh_at_ = fresh ? now : TimePoint();
  record_ = record.value_or(LeaseRecord());
  holding_ = record && IsMine(*record) && !record->released;
  if (!holding_) {
    handing_over_ = false;
    return true;
  }
  // A write whose answer was lost took effect: its time counts from when it was begun.
  const auto started = write_starts_.find(record_.renewals);
  holding_ = started != write_starts_.end();
  if (holding_) {
    valid_until_ = started->second + valid_for_;
  }
  return true;
}

void LeaseKeeper::Unread(TimePoint now) {
  if (!holding_) {
    first_seen_ = now;
    last_seen_ = now;
  }
}

void LeaseKeeper::Announce(OrderScopes own, OrderScopes inherited) {
  wanted_own_ = std::move(own);
  wanted_inherited_ = std::move(inherited);
}

OrderScopes LeaseKeeper::Announced() const {
  if (!holding_) {
    return {};
  }
  // What a write under way leaves out may be ordered no more: it may have taken effect.
  return writing_ ? Common(record_.own, writing_->record.own) : record_.own;
}

bool LeaseKeeper::Suspects() const {
  if (holding_ || version_.empty()) {
    return false;
  }
  // An earlier process on this machine counts as the same holder.
  if (record_.holder.empty() || record_.holder == address_ || record_.released) {
    return true;
  }
  return last_seen_ - first_seen_ >= suspect_after_ + more_yield_;
}

bool LeaseKeeper::Confirmed() const {
  if (record_.holder.empty() || record_.holder == address_ || record_.released) {
    return read_fresh_at_ != TimePoint();
  }
  return read_fresh_at_ >= first_seen_ + suspect_after_ + more_yield_;
}

bool LeaseKeeper::FreeForThisNode(TimePoint now) const {
  if (record_.holder.empty()) {
    return now - first_seen_ >= yield_;
  }
  return !record_.released || now - first_seen_ >= yield_ + more_yield_;
}

bool LeaseKeeper::MustWrite(TimePoint now) const {
  if (GivesUp() || now >= valid_until_ - valid_for_ + renew_every_) {
    return true;
  }
  const bool tells_all = CoversAll(record_.own, wanted_own_) &&
                         std::includes(record_.quarantined.begin(), record_.quarantined.end(),
                                       quarantined_.begin(), quarantined_.end());
  return now - write_started_at_ >= kBetweenAnnouncements && !tells_all;
}

bool LeaseKeeper::RenewalsFail(TimePoint now) const {
  return Holds(now) && now >= valid_until_ - valid_for_ + renew_every_ + kRenewalLate;
}

FormerLease LeaseKeeper::FormerOf(const LeaseRecord& record) const {
  FormerLease former;
  former.rest = bound_ + kMargin + (record.released ? Duration(0) : valid_for_);
  former.inherited = record.inherited;
  former.low_balances = record.low_balances;
  former.quarantined = record.quarantined;
  if (record.holder.empty()) {
    return former;
  }
  if (record.holder == address_) {
    former.who = FormerHolder::kThisNode;
    former.own = record.own;
    return former;
  }
  former.who = FormerHolder::kOtherNode;
  former.inherited = Union(record.inherited, record.own);
  return former;
}

std::optional<LeaseWrite> LeaseKeeper::NextWrite(TimePoint now) {
  if (writing_ || needs_read_ || version_.empty()) {
    return std::nullopt;
  }
  LeaseWrite write{record_, version_};
  if (holding_) {
    if (!MustWrite(now)) {
      return std::nullopt;
    }
    ++write.record.renewals;
    write.record.released = GivesUp();
    write.record.own = wanted_own_;
    write.record.inherited = wanted_inherited_;
    write.record.low_balances = low_balances_;
    write.record.quarantined = quarantined_;
  } else {
    if (stopping_ || !Suspects() || !Confirmed() || !FreeForThisNode(now)) {
      return std::nullopt;
    }
    former_ = FormerOf(record_);
    wanted_own_ = former_.own;
    wanted_inherited_ = former_.inherited;
    low_balances_ = former_.low_balances;
    quarantined_ = former_.quarantined;
    write.record =
        LeaseRecord{address_,    incarnation_,      record_.epoch + 1, 1,           false,
                    wanted_own_, wanted_inherited_, low_balances_,     quarantined_};
    write_starts_.clear();
  }
  write_started_at_ = now;
  write_starts_[write.record.renewals] = now;
  while (write_starts_.size() > kWriteStartsKept) {
    write_starts_.erase(write_starts_.begin());
  }
  writing_ = write;
  return write;
}

void LeaseKeeper::Written(const std::string& version, TimePoint now) {
  if (!writing_) {
    return;
  }
  record_ = writing_->record;
  version_ = version;
  first_seen_ = now;
  writing_.reset();
  holding_ = !record_.released;
  handing_over_ = handing_over_ && holding_;
  valid_until_ = write_starts_[record_.renewals] + valid_for_;
}

void LeaseKeeper::WriteFailed() {
  // It may have taken effect: only what both versions name may be ordered until that is known.
  if (writing_ && holding_) {
    record_.own = Common(record_.own, writing_->record.own);
  }
  writing_.reset();
  needs_read_ = true;
}

}  // namespace rudderloom
