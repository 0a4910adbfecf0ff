#include "Platform/ConfigurationPageDecoder.h"
#include "Platform/PlatformError.h"
#include "Platform/VmListDecoder.h"

#include <random>

#include <gtest/gtest.h>

namespace acaciacross::platform {

class PlatformDecoderTest : public testing::Test {
protected:
  /// Whether decoding throws PlatformError. Other exceptions are not caught.
  static bool isRefused(const std::string &Body) {
    try {
      ConfigurationPageDecoder::decode(Body);
    } catch (const PlatformError &) {
      return true;
    }
    return false;
  }

  const std::string Page =
      R"({"revision":7,"complete":false,"changes":[)"
      R"({"key":"classes","revision":6,"text":"[budget]\n"},)"
      R"({"key":"service/a","revision":7,"text":""}],"later":1})";
  const std::string List =
      R"({"vms":[)"
      R"({"id":"entry-1","kind":"entry","host":"127.0.0.1","port":7201,"state":"live"},)"
      R"({"id":"crew-0","kind":"upstream","host":"127.0.0.1","port":7301,"state":"leaving"},)"
      R"({"id":"x","kind":"switch","host":"127.0.0.1","port":1,"state":"live"},)"
      R"({"id":"y","kind":"entry","host":"127.0.0.1","port":72737,"state":"live"}]})";
};

TEST_F(PlatformDecoderTest, ConfigurationPageGivesChangesInOrder) {
  const ConfigurationPage Decoded = ConfigurationPageDecoder::decode(Page);
  EXPECT_EQ(Decoded.Revision, common::Revision(7));
  EXPECT_FALSE(Decoded.IsComplete);
  ASSERT_EQ(Decoded.Changes.size(), 2U);
  EXPECT_EQ(Decoded.Changes[0].Key, "classes");
  EXPECT_EQ(Decoded.Changes[0].Revision, common::Revision(6));
  EXPECT_EQ(Decoded.Changes[0].Text, "[budget]\n");
}

// One entry of an unknown kind must not make the other entries unusable. Port
// 72737 would become 7201 when truncated to 16 bits.
TEST_F(PlatformDecoderTest, VmListOmitsUnusableEntries) {
  const auto Entries = VmListDecoder::decode(List);
  ASSERT_EQ(Entries.size(), 2U);
  EXPECT_EQ(Entries[0].Kind, control::VmKind::Entry);
  EXPECT_EQ(Entries[0].Endpoint.toString(), "127.0.0.1:7201");
  EXPECT_EQ(Entries[1].Kind, control::VmKind::Upstream);
  EXPECT_EQ(Entries[1].State, control::VmState::Leaving);
}

// A page with missing, mistyped or contradictory fields must not be applied.
TEST_F(PlatformDecoderTest, MalformedPageIsRefused) {
  for (
      const char *Body :
      {"", "null", "7", "[]", "{}", "{\"revision\":7", "\xff\xfe",
       R"({"revision":-1,"complete":true,"changes":[]})",
       R"({"revision":"7","complete":true,"changes":[]})",
       R"({"revision":7,"complete":true,"changes":{}})",
       R"({"revision":7,"complete":true,"changes":[1]})",
       R"({"revision":7,"complete":true})",
       R"({"revision":7,"complete":true,"changes":[{"key":"a","revision":8,"text":""}]})",
       R"({"revision":7,"complete":true,"changes":[{"key":"a","revision":0,"text":""}]})"})
    EXPECT_TRUE(isRefused(Body)) << Body;
}

// The parser is recursive, so this many levels would overflow the stack.
TEST_F(PlatformDecoderTest, DeeplyNestedPageIsRefused) {
  EXPECT_TRUE(isRefused(std::string(1'000'000, '[')));
  EXPECT_TRUE(isRefused("{\"a\":\"\\\"" + std::string(100, '[') + "\"," +
                        std::string(100, '{')));
}

// Damaged bytes must give a page or a PlatformError, never another exception or
// a crash.
TEST_F(PlatformDecoderTest, DamagedPageIsDecodedOrRefused) {
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 5'000; ++Round) {
    std::string Body = Page;
    for (int Change = 0; Change < 3; ++Change)
      Body[Random() % Body.size()] = static_cast<char>(Random() % 128);
    Body.resize(Body.size() - Random() % 3);
    EXPECT_NO_THROW(isRefused(Body));
  }
}

} // namespace acaciacross::platform
