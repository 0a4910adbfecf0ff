#include "Configuration/ClassDocumentParser.h"

#include "UnitTests/Configuration/ParserError.h"

#include <gtest/gtest.h>

namespace acaciacross::configuration {

class ClassDocumentParserTest : public testing::Test {
protected:
  /// Error message for the sample with From replaced by To; empty if the text
  /// is accepted.
  std::string errorAfterReplacing(const std::string &From,
                                  const std::string &To) {
    return parseErrorAfterReplacing<ClassDocumentParser>(
        SampleClasses, "classes", common::ResultCode::DocumentInvalid, From,
        To);
  }
};

// Guards against a field that is not read or is read from the wrong key.
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

// Guards against an error message from which operators cannot locate the fault;
// the message is all that they see.
TEST_F(ClassDocumentParserTest,
       ErrorForValueOutOfRangeNamesLocationAndAllowedRange) {
  EXPECT_EQ(this->errorAfterReplacing("latency_target_ms = 80",
                                      "latency_target_ms = 0"),
            "classes:7: class.crew-plots.latency_target_ms = 0: an integer "
            "from 1 to 600000");
}

// Guards against targets and limits that no deployment can meet or that have
// no effect.
TEST_F(ClassDocumentParserTest, ParseOfValueOutOfRangeIsRefused) {
  EXPECT_NE(
      this->errorAfterReplacing("max_entry_vms = 12", "max_entry_vms = 0"), "");
  EXPECT_NE(this->errorAfterReplacing("= 99.0", "= 100"), "");
  EXPECT_NE(this->errorAfterReplacing("= 99.0", "= nan"), "");
  EXPECT_NE(this->errorAfterReplacing("= 0.99", "= 0"), "");
  EXPECT_NE(this->errorAfterReplacing("= 0.05", "= -0.1"), "");
}

// Guards against ignoring a key, which would silently leave a target at its
// default.
TEST_F(ClassDocumentParserTest, ParseOfUnknownOrMissingKeyIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("coverage_target", "coverage_targets"),
            "");
  EXPECT_NE(this->errorAfterReplacing("repeatable = true", ""), "");
  EXPECT_NE(this->errorAfterReplacing("[budget]", "[budgets]"), "");
  EXPECT_NE(
      this->errorAfterReplacing("[class.crew-plots]", "[class.\"crew plots\"]"),
      "");
}

// Guards against silent conversion of a value of the wrong type.
TEST_F(ClassDocumentParserTest, ParseOfWrongTypeIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("= true", "= \"true\""), "");
  EXPECT_NE(this->errorAfterReplacing("= 80", "= 80.5"), "");
  EXPECT_NE(this->errorAfterReplacing("\"crew-dispatch\"", "7"), "");
  EXPECT_NE(this->errorAfterReplacing("[class.crew-plots]", "[class]"), "");
}

// Guards against accepting a part of an ambiguous or truncated document.
TEST_F(ClassDocumentParserTest, ParseOfRepeatedKeyOrBrokenTextIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("repeatable = true",
                                      "repeatable = true\nrepeatable = false"),
            "");
  EXPECT_NE(this->errorAfterReplacing("[budget]", "[budget"), "");
}

// Guards against parsing a text larger than a published value can be.
TEST_F(ClassDocumentParserTest, ParseOfTextAboveOneMegabyteIsRefused) {
  EXPECT_NE(this->errorAfterReplacing("[budget]",
                                      std::string(1 << 20, '\n') + "[budget]"),
            "");
}

} // namespace acaciacross::configuration
