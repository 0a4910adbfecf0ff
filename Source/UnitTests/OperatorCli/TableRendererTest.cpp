#include "Programs/OperatorCli/TableRenderer.h"

#include <gtest/gtest.h>

namespace acaciacross::operatorcli {

class TableRendererTest : public testing::Test {};

// A class that was just published has no achieved values on the status page yet
// and must not make the page unreadable.
TEST_F(TableRendererTest, ClassWithoutResultsIsListedWithItsTargets) {
  const auto Table = TableRenderer::classes(
      R"({"vm":"entry-1","state":"serving","revision":3,"view_age_ms":1.5,)"
      R"("classes":[{"name":"a","service":"s","repeatable":true,"target":)"
      R"({"latency_ms":80.0,"percentile":99.0,"coverage":0.5,)"
      R"("extra_load":0.25}},{"name":"b","service":"s","repeatable":true,)"
      R"("target":{"latency_ms":70.0,"percentile":99.0,"coverage":1.0,)"
      R"("extra_load":0.0}}],"services":[],"fleet":[]})");
  ASSERT_TRUE(Table);
  EXPECT_NE(Table->find("a      s        -           80"), std::string::npos)
      << *Table;
  EXPECT_NE(Table->find("b      s        -           70"), std::string::npos)
      << *Table;
}

TEST_F(TableRendererTest, MalformedPageGivesNoTable) {
  EXPECT_FALSE(TableRenderer::fleet("{}"));
  EXPECT_FALSE(TableRenderer::audit("no JSON"));
}

} // namespace acaciacross::operatorcli
