#include "forwarding/quota_grant.hpp"

#include "forwarding/await_answer.hpp"   // for AwaitAnswer
#include "rudderloom/base/log_line.hpp"  // for LogLine

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

// Counts decisions without a granting node, and logs those of turns.
void QuotaGrant::CountAlone(const QuotaDecision& decision) {
  const bool granted = decision.verdict == QuotaVerdict::kGranted;
  const char* by_turn = granted ? "granted_in_turn" : "refused_until_turn";
  const char* by_share = granted ? "granted_by_share" : "refused_by_share";
  const char* how = decision.in_turn ? by_turn : by_share;
  state_.metrics.Count({"rudderloom_quota_alone_total", "decision", how});
  if (!state_.log_quota.Allows(Now())) {
    return;
  }
  const QuotaSnapshotPtr snapshot = state_.views.Current()->quota;
  LogLine line("quota_alone");
  line.With("decision", how).With("tokens", spend_.amount).With("wait_ms", decision.wait.count());
  if (snapshot) {
    line.With("position", snapshot->turns.position)
        .With("positions", snapshot->turns.positions)
        .With("digest_age_ms", Between(snapshot->made_at, Now()).count());
  }
}

QuotaDecision QuotaGrant::Decide(GranterReach reach) {
  const QuotaDecision decision = state_.quota.Decide(spend_.customer, spend_.amount, reach, Now());
  granted_ = decision.verdict == QuotaVerdict::kGranted;
  if (reach == GranterReach::kUnreachable || decision.in_turn) {
    CountAlone(decision);
  }
  return decision;
}

Awaitable<std::optional<Duration>> QuotaGrant::Acquire(CallGuard& guard,
                                                       const Customer& customer,
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
  // The request is decided without a late grant, so that the granting node has booked it for
  // nothing.
  const auto return_late = [&state = state_, spend = spend_](const SpendAnswer& late) {
    if (late.verdict == SpendVerdict::kGranted && state.quota.Bounds().enforced) {
      state.quota.Refund(spend.customer, spend.amount);
      state.metrics.Count({"rudderloom_quota_late_grants_total"});
    }
  };
  const auto answer = co_await AwaitAnswer<SpendAnswer>(state_.context, &guard, ask, return_late);
  if (guard.Interrupted() && !answer) {
    co_return std::nullopt;
  }
  if (answer && answer->verdict == SpendVerdict::kGranted) {
    granted_ = true;
    co_return std::nullopt;
  }
  if (answer && answer->verdict == SpendVerdict::kRefused) {
    state_.quota.RefusedByGranter(spend_.customer, answer->wait, Now());
    co_return answer->wait;
  }
  state_.metrics.Count({"rudderloom_quota_asks_unanswered_total"});
  state_.quota.Unanswered(spend_.customer, Now());
  co_return WaitOf(Decide(GranterReach::kUnreachable));
}

}  // namespace rudderloom
