// At which software version a stream may go on, by the answers of several nodes.
#include "rudderloom/stream_versions/version_decision.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {

bool operator==(const VersionDecision& left, const VersionDecision& right) {
  return left.verdict == right.verdict && left.software_version == right.software_version;
}

namespace {

using Versions = std::set<std::string>;

const VersionDecision kAskAgain{VersionVerdict::kAskAgain, ""};
const VersionDecision kUnknown{VersionVerdict::kUnknown, ""};

VersionDecision Began(const std::string& version) {
  return {VersionVerdict::kBegan, version};
}

VersionDecision Only(const std::string& version) {
  return {VersionVerdict::kOnly, version};
}

// A node that doesn't know the stream and has seen these versions.
StreamAnswer Node(Versions versions) {
  StreamAnswer answer;
  answer.versions = std::move(versions);
  answer.knows_history = true;
  return answer;
}

StreamAnswer NodeThatBeganIt(const std::string& version, Versions versions) {
  StreamAnswer answer = Node(std::move(versions));
  answer.software_version = version;
  return answer;
}

StreamAnswer Holder(Versions versions) {
  StreamAnswer answer = Node(std::move(versions));
  answer.is_holder = true;
  return answer;
}

StreamAnswer HolderWithSaved(Versions versions) {
  StreamAnswer answer = Holder(std::move(versions));
  answer.has_loaded = true;
  return answer;
}

StreamAnswer WithoutHistory(StreamAnswer answer) {
  answer.knows_history = false;
  return answer;
}

StreamAnswer FromSelf(StreamAnswer answer) {
  answer.from_self = true;
  return answer;
}

using Answers = std::vector<std::optional<StreamAnswer>>;

// More nodes may be asked, and all are asked again.
VersionDecision Decide(const StreamAnswer& own, const Answers& answers) {
  return DecideVersion({own, answers, false, false});
}

VersionDecision DecideAtLastTry(const StreamAnswer& own, const Answers& answers) {
  return DecideVersion({own, answers, false, true});
}

VersionDecision DecideWithAllAsked(const StreamAnswer& own, const Answers& answers) {
  return DecideVersion({own, answers, true, false});
}

// Guards against a stream that goes on at the only version that serves instead of its own.
TEST_CASE("a known start decides whatever versions have been seen") {
  const StreamAnswer starter = NodeThatBeganIt("v1", {});
  CHECK(Decide(Node({"v2"}), {HolderWithSaved({"v2"}), starter}) == Began("v1"));
  CHECK(Decide(Node({"v1", "v2"}), {Holder({"v1", "v2"}), starter}) == Began("v1"));
  CHECK(Decide(Node({"v2"}), {std::nullopt, WithoutHistory(starter)}) == Began("v1"));
  CHECK(DecideAtLastTry(Node({"v2"}), {Node({"v2"}), starter}) == Began("v1"));
  CHECK(DecideWithAllAsked(Node({"v2"}), {FromSelf(starter)}) == Began("v1"));
}

// Guards against a stream that goes on at the version of its first attempt, as one node has missed
// that a retry began it at another one.
TEST_CASE("nodes that know a stream at different versions don't decide") {
  const Versions both{"v1", "v2"};
  const StreamAnswer first = NodeThatBeganIt("v1", both);
  const StreamAnswer second = NodeThatBeganIt("v2", both);
  CHECK(Decide(Node(both), {first, second}) == kAskAgain);
  CHECK(Decide(Node(both), {HolderWithSaved(both), second, first}) == kAskAgain);
  CHECK(DecideWithAllAsked(Node(both), {first, FromSelf(second)}) == kAskAgain);
  CHECK(DecideAtLastTry(Node(both), {first, second}) == kUnknown);
  CHECK(Decide(Node(both), {second, second, Node(both)}) == Began("v2"));
}

// Guards against a new holder that has not seen the versions that served before its start.
TEST_CASE("the holder's word about a single version counts only if it knows the history") {
  CHECK(Decide(Node({"v2"}), {Holder({"v2"})}) == Only("v2"));
  CHECK(Decide(WithoutHistory(Node({})), {Holder({"v2"}), std::nullopt}) == Only("v2"));
  CHECK(Decide(Node({"v2"}), {FromSelf(Holder({"v2"}))}) == Only("v2"));
  CHECK(Decide(Node({"v2"}), {WithoutHistory(Holder({"v2"}))}) == kAskAgain);
  CHECK(Decide(Node({"v2"}), {FromSelf(WithoutHistory(Holder({"v2"})))}) == kAskAgain);
  // No other node's word counts as the holder's.
  CHECK(Decide(Node({"v2"}), {Node({"v2"}), Node({"v2"})}) == kAskAgain);
  CHECK(DecideWithAllAsked(Node({"v2"}), {Node({"v2"}), Node({"v2"})}) == kAskAgain);
}

// Guards against a version that the holder has not learned yet and that goes uncounted.
TEST_CASE("a further version that any answer or the node itself names forbids the only one") {
  CHECK(Decide(Node({"v1"}), {Holder({"v2"})}) == kAskAgain);
  CHECK(Decide(Node({"v2"}), {Holder({"v2"}), Node({"v1"})}) == kAskAgain);
  CHECK(Decide(Node({"v2"}), {Holder({"v2"}), WithoutHistory(Node({"v1"}))}) == kAskAgain);
  CHECK(Decide(WithoutHistory(Node({"v1"})), {Holder({"v2"})}) == kAskAgain);
  CHECK(Decide(Node({"v2"}), {Holder({"v1", "v2"})}) == kAskAgain);
  CHECK(Decide(Node({"v2"}), {Holder({"", "v2"})}) == kAskAgain);
  CHECK(DecideAtLastTry(Node({"v1"}), {Holder({"v2"})}) == kUnknown);
  CHECK(DecideAtLastTry(Node({"v2"}), {Node({"v2"}), Node({"v1"})}) == kUnknown);
  CHECK(DecideAtLastTry(Node({"v1"}), {Node({"v2"}), Node({"v2"})}) == kUnknown);
}

// Guards against endpoints that state no version and versions that nobody has seen, taken for one.
TEST_CASE("endpoints that state no version have one, and no version seen is none") {
  CHECK(Decide(Node({""}), {Holder({""})}) == Only(""));
  CHECK(DecideAtLastTry(Node({""}), {Node({""})}) == Only(""));
  CHECK(Decide(Node({}), {Holder({})}) == kAskAgain);
  CHECK(DecideAtLastTry(Node({}), {Holder({})}) == kUnknown);
  CHECK(DecideAtLastTry(Node({}), {Node({}), Node({})}) == kUnknown);
  CHECK(DecideWithAllAsked(Node({}), {HolderWithSaved({})}) == kUnknown);
}

// Guards against a few nodes that decide for all, or before a new holder can answer.
TEST_CASE("without a holder half of the other nodes decide, at the last try") {
  const StreamAnswer node = Node({"v2"});
  CHECK(DecideAtLastTry(node, {node, std::nullopt}) == Only("v2"));
  CHECK(DecideAtLastTry(node, {node, node, std::nullopt, std::nullopt}) == Only("v2"));
  CHECK(DecideAtLastTry(node, {node, std::nullopt, std::nullopt}) == kUnknown);
  CHECK(DecideAtLastTry(node, {std::nullopt, std::nullopt}) == kUnknown);
  CHECK(Decide(node, {node, node, node}) == kAskAgain);
  CHECK(DecideWithAllAsked(node, {node, node, node}) == kAskAgain);
  // What the node has seen itself must reach back before its start.
  CHECK(DecideAtLastTry(WithoutHistory(node), {node, node, node}) == kUnknown);
}

// Guards against a node that is cut off from all others and takes its own word for theirs.
TEST_CASE("a node that has only asked itself doesn't decide without a holder") {
  const StreamAnswer node = Node({"v2"});
  CHECK(DecideAtLastTry(node, {FromSelf(node)}) == kUnknown);
  CHECK(DecideAtLastTry(node, {FromSelf(node), std::nullopt}) == kUnknown);
  CHECK(DecideAtLastTry(node, {}) == kUnknown);
  // Its own answer counts neither for the others that answered nor against them.
  CHECK(DecideAtLastTry(node, {FromSelf(node), node, std::nullopt}) == Only("v2"));
  CHECK(DecideAtLastTry(node, {FromSelf(node), node, std::nullopt, std::nullopt}) == kUnknown);
}

// Guards against streams that are refused before every node that may know them has been heard.
TEST_CASE(
    "an unknown stream is final once all have answered and the holder has read saved starts") {
  const Versions both{"v1", "v2"};
  const StreamAnswer own = Node(both);
  CHECK(DecideWithAllAsked(own, {HolderWithSaved(both), Node(both)}) == kUnknown);
  CHECK(DecideWithAllAsked(own, {FromSelf(HolderWithSaved(both))}) == kUnknown);
  CHECK(Decide(own, {HolderWithSaved(both), Node(both)}) == kAskAgain);
  CHECK(DecideWithAllAsked(own, {HolderWithSaved(both), std::nullopt}) == kAskAgain);
  CHECK(DecideWithAllAsked(own, {Holder(both), Node(both)}) == kAskAgain);
  CHECK(DecideWithAllAsked(own, {WithoutHistory(HolderWithSaved(both)), Node(both)}) == kAskAgain);
  StreamAnswer former_holder = Node(both);
  former_holder.has_loaded = true;
  CHECK(DecideWithAllAsked(own, {former_holder, Holder(both)}) == kAskAgain);
  CHECK(DecideWithAllAsked(own, {}) == kAskAgain);
}

// Guards against inquiries that never end.
TEST_CASE("the last try ends an inquiry") {
  const Versions both{"v1", "v2"};
  const StreamAnswer own = Node(both);
  for (const Answers& answers : {Answers{}, Answers{std::nullopt}, Answers{Node(both)},
                                 Answers{Holder(both), std::nullopt}}) {
    CHECK(Decide(own, answers) == kAskAgain);
    CHECK(DecideAtLastTry(own, answers) == kUnknown);
  }
}

// Guards against streams of the only version that are refused once a second one has appeared.
TEST_CASE("a holder's word on streams that no node knows counts if it has seen all versions") {
  StreamAnswer holder = HolderWithSaved({"v1", "v2"});
  holder.unrecorded_version = "v1";
  const StreamAnswer other = Node({"v1", "v2"});
  CHECK(Decide(other, {holder, std::nullopt}) == VersionDecision{VersionVerdict::kFirst, "v1"});
  CHECK(Decide(other, {holder, NodeThatBeganIt("v2", {"v1", "v2"})}) == Began("v2"));
  // Its service has been given streams of another one, of which the holder hasn't heard.
  CHECK(Decide(Node({"v1", "v2", "v3"}), {holder, other}).verdict != VersionVerdict::kFirst);
  CHECK(Decide(other, {holder, Node({"v1", "v2", "v3"})}).verdict != VersionVerdict::kFirst);
}

}  // namespace
}  // namespace rudderloom
