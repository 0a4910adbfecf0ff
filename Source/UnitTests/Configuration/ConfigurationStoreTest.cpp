#include "Configuration/ConfigurationStore.h"

#include "UnitTests/Configuration/SampleDocuments.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace acaciacross::configuration {

class ConfigurationStoreTest : public testing::Test {
protected:
  static ConfigurationChange change(std::string Key, std::uint64_t Number,
                                    std::string Text) {
    return {std::move(Key), common::Revision(Number), std::move(Text)};
  }

  static ConfigurationChange classes(std::uint64_t Number,
                                     std::uint32_t MaxEntryVms) {
    return change(
        "classes", Number,
        replaceFirst(SampleClasses, "max_entry_vms = 12",
                     "max_entry_vms = " + std::to_string(MaxEntryVms)));
  }

  ConfigurationStore Store;
};

// Guards against reverting a change because of a late copy of an older revision
// from a stale service or a peer.
TEST_F(ConfigurationStoreTest, ApplyOfOlderRevisionKeepsTheNewer) {
  EXPECT_EQ(this->Store.apply(classes(7, 9)).Outcome, ApplyOutcome::Accepted);
  EXPECT_EQ(this->Store.apply(classes(6, 8)).Outcome, ApplyOutcome::Stale);
  EXPECT_EQ(this->Store.apply(classes(7, 8)).Outcome, ApplyOutcome::Stale);
  EXPECT_EQ(this->Store.classes()->Budget.MaxEntryVms, 9U);
}

// Guards against ignoring a valid revision because a higher one was rejected as
// invalid before.
TEST_F(ConfigurationStoreTest, ApplyOfInvalidDocumentKeepsRevisionInEffect) {
  this->Store.apply(classes(5, 9));
  const ApplyResult Refused = this->Store.apply(change("classes", 8, "x = 1"));
  EXPECT_EQ(Refused.Outcome, ApplyOutcome::Invalid);
  EXPECT_NE(Refused.Message.find("classes:1: x = 1"), std::string::npos);
  EXPECT_EQ(this->Store.classes()->Budget.MaxEntryVms, 9U);
  EXPECT_EQ(this->Store.apply(classes(6, 10)).Outcome, ApplyOutcome::Accepted);
  EXPECT_EQ(this->Store.highestRevision(), common::Revision(6));
}

// Guards against storing documents under keys that nothing reads.
TEST_F(ConfigurationStoreTest, ApplyOfUnknownKeyIsInvalid) {
  for (const char *Key : {"", "class", "service/", "service/a b", "service"})
    EXPECT_EQ(this->Store.apply(change(Key, 1, SampleService)).Outcome,
              ApplyOutcome::Invalid)
        << Key;
}

// Guards against sending peers changes that they already have, or not sending
// those that they lack.
TEST_F(ConfigurationStoreTest, ChangesSinceGivesOnlyKeysThatDiffer) {
  this->Store.apply(change("service/b", 3, SampleService));
  this->Store.apply(classes(2, 9));
  this->Store.apply(change("service/a", 1, SampleService));
  const auto All = this->Store.changesSince({});
  ASSERT_EQ(All.size(), 3U);
  EXPECT_EQ(All[0].Key, "service/a");
  EXPECT_EQ(All[2].Key, "service/b");

  ConfigurationStore::Revisions Known = this->Store.revisions();
  Known["classes"] = common::Revision(1);
  const auto Newer = this->Store.changesSince(Known);
  ASSERT_EQ(Newer.size(), 1U);
  EXPECT_EQ(Newer[0].Key, "classes");
}

// VMs receive the same changes from different sources and in different orders.
// Guards against contents that depend on the order.
TEST_F(ConfigurationStoreTest, DigestDoesNotDependOnOrderOfChanges) {
  std::vector<ConfigurationChange> Changes = {
      classes(1, 5),
      classes(4, 6),
      change("classes", 9, "broken"),
      change("service/a", 2, SampleService),
      change("service/a", 6, SampleService),
      change("service/b", 3, SampleService)};
  for (const ConfigurationChange &Change : Changes)
    this->Store.apply(Change);

  std::mt19937 Order(20261204);
  for (int Round = 0; Round < 50; ++Round) {
    std::shuffle(Changes.begin(), Changes.end(), Order);
    ConfigurationStore Other;
    for (const ConfigurationChange &Change : Changes)
      Other.apply(Change);
    EXPECT_EQ(Other.digest(), this->Store.digest());
  }
  ConfigurationStore Empty;
  EXPECT_NE(Empty.digest(), this->Store.digest());
}

} // namespace acaciacross::configuration
