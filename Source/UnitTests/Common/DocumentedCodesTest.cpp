#include "Common/LogEvent.h"
#include "Common/ResultCode.h"

#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <regex>
#include <string>

namespace acaciacross::common {

// Guards against codes and events that are missing from their page in docs, are
// listed twice, or are listed under another name.
class DocumentedCodesTest : public testing::Test {
protected:
  /// Returns the rows "| number | name |" of a page; a number that is listed
  /// twice fails the test.
  static std::map<int, std::string> rowsOf(const std::string &Page) {
    std::ifstream File(std::string(ACACIACROSS_DOCS_DIR) + "/" + Page);
    EXPECT_TRUE(File.is_open()) << Page;
    const std::regex Row(R"(^\| (\d+) \| (\w+) \|.*)");
    std::map<int, std::string> Rows;
    std::string Line;
    while (std::getline(File, Line)) {
      std::smatch Match;
      if (!std::regex_match(Line, Match, Row))
        continue;
      const bool IsNew = Rows.emplace(std::stoi(Match[1]), Match[2]).second;
      EXPECT_TRUE(IsNew) << Page << " lists " << Match[1] << " twice";
    }
    return Rows;
  }
};

TEST_F(DocumentedCodesTest, ResultCodePageListsEveryCodeOnce) {
  std::map<int, std::string> Expected;
  for (const ResultCode Code : allResultCodes()) {
    const std::string Name(resultCodeName(Code));
    EXPECT_TRUE(Expected.emplace(static_cast<int>(Code), Name).second);
  }
  EXPECT_EQ(rowsOf("RESULT_CODES.md"), Expected);
}

TEST_F(DocumentedCodesTest, EventPageListsEveryEventOnce) {
  std::map<int, std::string> Expected;
  for (const LogEvent Event : allLogEvents()) {
    const std::string Name(logEventName(Event));
    EXPECT_TRUE(Expected.emplace(static_cast<int>(Event), Name).second);
  }
  EXPECT_EQ(rowsOf("EVENTS.md"), Expected);
}

} // namespace acaciacross::common
