#include "rudderloom/customers/customer.hpp"

#include <doctest/doctest.h>  // for TEST_CASE

namespace rudderloom {
namespace {

Customer MakeCustomer(const std::string& name, const std::vector<std::string>& keys) {
  Customer customer;
  customer.name = name;
  for (const std::string& key : keys) {
    customer.keys.push_back(DigestOf(key));
  }
  return customer;
}

TEST_CASE("a key resolves to its customer, and to none after its removal") {
  const CustomerTable before({MakeCustomer("a", {"k1", "k2"}), MakeCustomer("b", {"k3"})});
  CHECK(before.Find(DigestOf("k2"))->name == "a");
  CHECK(before.Find(DigestOf("k3"))->name == "b");
  CHECK(before.Find(DigestOf("K3")) == nullptr);
  CHECK(before.Find(DigestOf("")) == nullptr);
  const CustomerTable after({MakeCustomer("a", {"k1"}), MakeCustomer("b", {"k3"})});
  CHECK(after.Find(DigestOf("k2")) == nullptr);
}

TEST_CASE("a reassigned key belongs only to its new customer") {
  const CustomerTable table({MakeCustomer("a", {"k1"}), MakeCustomer("b", {"k2"})});
  const CustomerTable later({MakeCustomer("a", {}), MakeCustomer("b", {"k2", "k1"})});
  CHECK(table.Find(DigestOf("k1"))->name == "a");
  CHECK(later.Find(DigestOf("k1"))->name == "b");
}

TEST_CASE("a digest is restored from its bytes, and short names distinguish keys") {
  const KeyDigest digest = DigestOf("asnmgkcuyj8pjbvk9m68");
  CHECK(KeyDigestFrom(BytesOf(digest)) == digest);
  CHECK_FALSE(KeyDigestFrom("short"));
  CHECK(ShortName(digest).size() == 8);
  CHECK(ShortName(digest) != ShortName(DigestOf("asnmgkcuyj8pjbvk9m69")));
}

TEST_CASE("only customers with a rate have a limit") {
  Customer limited = MakeCustomer("a", {"k1"});
  limited.quota = {QuotaUnit::kTokens, 1'000, 500, 200};
  const CustomerTable table({limited, MakeCustomer("b", {"k2"})});
  CHECK(table.Limits().size() == 1);
  CHECK(table.Limits().at(CustomerKeyOf("a")).burst == 500);
}

}  // namespace
}  // namespace rudderloom
