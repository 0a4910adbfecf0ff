#include "Programs/OperatorCli/DocumentCheck.h"
#include "Programs/OperatorCli/CheckReport.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace acaciacross::operatorcli {

class DocumentCheckTest : public testing::Test {
protected:
  /// A temporary folder, removed after each test.
  std::filesystem::path Folder =
      std::filesystem::path(testing::TempDir()) /
      ("DocumentCheckTest-" + std::to_string(getpid()));

  void SetUp() override { std::filesystem::create_directory(this->Folder); }
  void TearDown() override { std::filesystem::remove_all(this->Folder); }

  std::string write(const std::string &Name, const std::string &Text) const {
    std::ofstream(this->Folder / Name) << Text;
    return (this->Folder / Name).string();
  }
};

TEST_F(DocumentCheckTest, InvalidValueIsReportedWithFileLineAndKey) {
  const CheckResult Result = DocumentCheck::run(
      this->write("classes.toml", "[budget]\nmax_entry_vms = 0\n"));
  EXPECT_EQ(Result.Status, ExitStatus::DocumentInvalid);
  EXPECT_NE(Result.Problem.find("classes.toml:2: budget.max_entry_vms = 0"),
            std::string::npos)
      << Result.Problem;
}

// A script that checks files before it publishes them must not mistake a
// missing file for a valid one.
TEST_F(DocumentCheckTest, MissingFileIsNotValid) {
  const CheckResult Result =
      DocumentCheck::run((this->Folder / "classes.toml").string());
  EXPECT_EQ(Result.Status, ExitStatus::FileUnreadable);
  EXPECT_EQ(CheckReport::status({CheckResult(), Result}),
            ExitStatus::FileUnreadable);
}

} // namespace acaciacross::operatorcli
