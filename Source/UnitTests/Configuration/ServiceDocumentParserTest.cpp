#include "Configuration/ServiceDocumentParser.h"

#include "UnitTests/Configuration/ParserError.h"

#include <gtest/gtest.h>

namespace acaciacross::configuration {

class ServiceDocumentParserTest : public testing::Test {
protected:
  std::string errorAfterReplacing(const std::string &From,
                                  const std::string &To) {
    return parseErrorAfterReplacing<ServiceDocumentParser>(
        SampleService, "service/crew-dispatch",
        common::ResultCode::DocumentInvalid, From, To);
  }
};

// Guards against a field that is not read or is read from the wrong key.
TEST_F(ServiceDocumentParserTest, ParseOfSampleGivesEveryField) {
  const ServiceDocument Document =
      ServiceDocumentParser::parse(SampleService, "service/crew-dispatch");
  EXPECT_EQ(Document.Name.Value, "crew-dispatch");
  ASSERT_EQ(Document.Searchers.size(), 3U);
  EXPECT_EQ(Document.Searchers[1].Id.Value, "crew-1");
  EXPECT_EQ(Document.Searchers[1].Endpoint.toString(), "127.0.0.1:7302");
  EXPECT_EQ(Document.Searchers[1].Zone, "lake-2");
  EXPECT_EQ(Document.Searchers[1].Slots, 2U);
  EXPECT_EQ(Document.Searchers[1].MaxConnections, 25U);
  ASSERT_EQ(Document.Snapshots.size(), 1U);
  ASSERT_EQ(Document.Snapshots[0].Shards.size(), 2U);
  EXPECT_EQ(Document.Snapshots[0].Shards[1].Range,
            (common::KeyRange{32768, 65536}));
  EXPECT_EQ(Document.Snapshots[0].Shards[1].Documents, 500U);
  EXPECT_EQ(Document.Snapshots[0].Shards[1].Replicas.size(), 3U);
}

// Guards against documents between two shards, which would be missing from
// answers without reducing the coverage.
TEST_F(ServiceDocumentParserTest, ParseOfGapBetweenRangesIsRefused) {
  const std::string Error =
      this->errorAfterReplacing("range_begin = 32768", "range_begin = 32769");
  EXPECT_NE(Error.find("snapshot[0].shard[1].range_begin = 32769: 32768"),
            std::string::npos)
      << Error;
  EXPECT_NE(this->errorAfterReplacing("range_begin = 0", "range_begin = 1"),
            "");
}

// Guards against documents in two shards, which would be answered twice.
TEST_F(ServiceDocumentParserTest, ParseOfOverlappingRangesIsRefused) {
  EXPECT_NE(
      this->errorAfterReplacing("range_begin = 32768", "range_begin = 32767"),
      "");
  EXPECT_NE(this->errorAfterReplacing("range_begin = 32768", "range_begin = 0"),
            "");
}

// Guards against a shard that holds no keys.
TEST_F(ServiceDocumentParserTest, ParseOfEmptyRangeIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("range_end = 65536", "range_end = 32768"),
            "");
}

// Guards against a shard without a replica, with a replica that has no address,
// or with the same replica twice.
TEST_F(ServiceDocumentParserTest, ParseOfReplicaOfUnknownSearcherIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("[\"crew-0\",", "[\"crew-9\","), "");
  EXPECT_NE(this->errorAfterReplacing("[\"crew-0\",", "[\"crew-1\","), "");
  EXPECT_NE(
      this->errorAfterReplacing("[\"crew-0\", \"crew-1\", \"crew-2\"]", "[]"),
      "");
}

// Guards against ids that do not identify one searcher, shard or snapshot, and
// against using the connection limit of one process twice.
TEST_F(ServiceDocumentParserTest, ParseOfRepeatedIdOrAddressIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("id = \"crew-1\"", "id = \"crew-0\""),
            "");
  EXPECT_NE(this->errorAfterReplacing("id = 1", "id = 0"), "");
  EXPECT_NE(this->errorAfterReplacing(":7302", ":7301"), "");
  EXPECT_NE(this->errorAfterReplacing("[[snapshot.shard]]\nid = 1\n",
                                      "[[snapshot]]\nid = \"2026-12-04T06\"\n"
                                      "[[snapshot.shard]]\nid = 1\n"),
            "");
}

// Guards against accepting a document that is only partly understood.
TEST_F(ServiceDocumentParserTest, ParseOfInvalidValueKeyOrTableIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("slots = 2", "slots = 0"), "");
  EXPECT_NE(this->errorAfterReplacing("slots = 2", "slot = 2"), "");
  EXPECT_NE(this->errorAfterReplacing("127.0.0.1:7301", "localhost:7301"), "");
  EXPECT_NE(this->errorAfterReplacing("documents = 500", "documents = -1"), "");
  EXPECT_NE(this->errorAfterReplacing("[[snapshot]]", "[snapshot]"), "");
  EXPECT_NE(this->errorAfterReplacing(SampleService, ""), "");
}

} // namespace acaciacross::configuration
