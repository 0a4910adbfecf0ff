#include "Programs/OperatorCli/DocumentCheck.h"

#include "Configuration/ClassDocumentParser.h"
#include "Configuration/ConfigurationError.h"
#include "Configuration/EntrySettingsParser.h"
#include "Configuration/ServiceDocumentParser.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace acaciacross::operatorcli {

namespace {

std::string kindOf(const std::string &File) {
  const std::string Name = std::filesystem::path(File).filename().string();
  if (Name == "classes.toml")
    return "classes";
  return Name.starts_with("service-") ? "service" : "entry";
}

void parse(const std::string &Kind, const std::string &Text,
           const std::string &File) {
  if (Kind == "classes")
    configuration::ClassDocumentParser::parse(Text, File);
  else if (Kind == "service")
    configuration::ServiceDocumentParser::parse(Text, File);
  else
    configuration::EntrySettingsParser::parse(Text, File);
}

} // namespace

CheckResult DocumentCheck::run(const std::string &File) {
  CheckResult Result{File, kindOf(File), ExitStatus::Ok, ""};
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (!(Text << Stream.rdbuf())) {
    Result.Status = ExitStatus::FileUnreadable;
    Result.Problem = File + ": cannot be read or is empty";
    return Result;
  }
  try {
    parse(Result.Kind, Text.str(), File);
  } catch (const configuration::ConfigurationError &Error) {
    Result.Status = ExitStatus::DocumentInvalid;
    Result.Problem = Error.what();
  }
  return Result;
}

} // namespace acaciacross::operatorcli
