#include "Configuration/ClassDocumentParser.h"

#include "UnitTests/Configuration/ParserError.h"

#include <gtest/gtest.h>

namespace acaciacross::configuration {

class ClassDocumentParserTest : public testing::Test {
protected:
  /// Message of the error for the sample with From replaced by To; empty when
  /// the text is accepted.
  std::string errorOf(const std::string &From, const std::string &To) {
    return errorOfChanged<ClassDocumentParser>(
        SampleClasses, "classes", common::ResultCode::DocumentInvalid, From,
        To);
  }
};

TEST_F(ClassDocumentParserTest, ParseOfSampleGivesEveryField) {
  const ClassDocument Document =
      ClassDocumentParser::parse(SampleClasses, "classes");
  EXPECT_EQ(Document.Budget.MaxEntryVms, 12U);
  EXPECT_EQ(Document.Budget.MaxConfigurationCallsPerSecond, 200U);
  ASSERT_EQ(Document.Classes.size(), 1U);
  const ClassDefinition &Class = Document.Classes.front();
  EXPECT_EQ(Class.Name.Value, "crew-plots");
  EXPECT_EQ(Class.Service.Value, "crew-dispatch");
  EXPECT_EQ(Class.LatencyTarget, std::chrono::milliseconds(80));
  EXPECT_DOUBLE_EQ(Class.TargetPercentile, 99.0);
  EXPECT_DOUBLE_EQ(Class.CoverageTarget, 0.99);
  EXPECT_DOUBLE_EQ(Class.ExtraLoadTarget, 0.05);
  EXPECT_TRUE(Class.Repeatable);
}

// Operators find the fault by this message alone.
TEST_F(ClassDocumentParserTest,
       ErrorOfValueOutOfRangeSaysWhereAndWhatIsAllowed) {
  EXPECT_EQ(this->errorOf("latency_target_ms = 80", "latency_target_ms = 0"),
            "classes:7: class.crew-plots.latency_target_ms = 0: an integer "
            "from 1 to 600000");
}

TEST_F(ClassDocumentParserTest, ParseOfValueOutOfRangeIsRefused) {
  EXPECT_NE(this->errorOf("max_entry_vms = 12", "max_entry_vms = 0"), "");
  EXPECT_NE(this->errorOf("= 99.0", "= 100"), "");
  EXPECT_NE(this->errorOf("= 99.0", "= nan"), "");
  EXPECT_NE(this->errorOf("= 0.99", "= 0"), "");
  EXPECT_NE(this->errorOf("= 0.05", "= -0.1"), "");
}

// An ignored key would leave a target at its default without anyone seeing it.
TEST_F(ClassDocumentParserTest, ParseOfUnknownOrMissingKeyIsRefused) {
  EXPECT_NE(this->errorOf("coverage_target", "coverage_targets"), "");
  EXPECT_NE(this->errorOf("repeatable = true", ""), "");
  EXPECT_NE(this->errorOf("[budget]", "[budgets]"), "");
  EXPECT_NE(this->errorOf("[class.crew-plots]", "[class.\"crew plots\"]"), "");
}

TEST_F(ClassDocumentParserTest, ParseOfWrongTypeIsRefused) {
  EXPECT_NE(this->errorOf("= true", "= \"true\""), "");
  EXPECT_NE(this->errorOf("= 80", "= 80.5"), "");
  EXPECT_NE(this->errorOf("\"crew-dispatch\"", "7"), "");
  EXPECT_NE(this->errorOf("[class.crew-plots]", "[class]"), "");
}

TEST_F(ClassDocumentParserTest, ParseOfRepeatedKeyOrBrokenTextIsRefused) {
  EXPECT_NE(this->errorOf("repeatable = true",
                          "repeatable = true\nrepeatable = false"),
            "");
  EXPECT_NE(this->errorOf("[budget]", "[budget"), "");
}

// A text above the size of a published value must not be read at all.
TEST_F(ClassDocumentParserTest, ParseOfTextAboveOneMegabyteIsRefused) {
  EXPECT_NE(this->errorOf("[budget]", std::string(1 << 20, '\n') + "[budget]"),
            "");
}

} // namespace acaciacross::configuration
