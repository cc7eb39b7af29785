#include "forwarding/quota_grant.hpp"

#include "forwarding/await_answer.hpp"  // for AwaitAnswer

namespace rudderloom {

namespace {

std::optional<Duration> WaitOf(const QuotaDecision& decision) {
  return decision.verdict == QuotaVerdict::kGranted ? std::nullopt : std::optional(decision.wait);
}

}  // namespace

std::uint64_t AmountOf(const QuotaLimit& limit, const RequestMetadata& terms) {
  if (limit.unit == QuotaUnit::kRequests) {
    return 1;
  }
  return terms.declares_tokens ? terms.token_limit : limit.default_tokens;
}

QuotaGrant::~QuotaGrant() {
  if (granted_ && !may_have_run_) {
    state_.quota.Refund(spend_.customer, spend_.amount);
  }
}

QuotaDecision QuotaGrant::Decide(GranterReach reach) {
  const QuotaDecision decision = state_.quota.Decide(spend_.customer, spend_.amount, reach, Now());
  granted_ = decision.verdict == QuotaVerdict::kGranted;
  return decision;
}

Awaitable<std::optional<Duration>> QuotaGrant::Acquire(const Customer& customer,
                                                       const RequestMetadata& terms) {
  if (!customer.quota.Limited()) {
    co_return std::nullopt;
  }
  spend_ = {CustomerKeyOf(customer.name), AmountOf(customer.quota, terms)};
  state_.quota.RecordRequest(spend_.customer, customer.quota, spend_.amount, Now());
  const FleetViewPtr view = state_.views.Current();
  const bool state_fresh = state_.quota.HasFreshDigest(Now());
  const std::string granter = state_fresh ? view->quota_holder : view->quota_relay;
  const QuotaDecision decision =
      Decide(granter.empty() ? GranterReach::kUnreachable : GranterReach::kReachable);
  if (decision.verdict != QuotaVerdict::kAsk) {
    co_return WaitOf(decision);
  }
  const auto ask = [this, granter](auto done) {
    state_.peers.ask_for_quota(granter, spend_, std::move(done));
  };
  const auto answer = co_await AwaitAnswer<SpendAnswer>(state_.context, ask);
  if (answer && answer->verdict == SpendVerdict::kGranted) {
    granted_ = true;
    co_return std::nullopt;
  }
  if (answer && answer->verdict == SpendVerdict::kRefused) {
    state_.quota.RefusedByGranter(spend_.customer, answer->wait, Now());
    co_return answer->wait;
  }
  state_.metrics.Count({"rudderloom_quota_asks_unanswered_total"});
  co_return WaitOf(Decide(GranterReach::kUnreachable));
}

}  // namespace rudderloom
