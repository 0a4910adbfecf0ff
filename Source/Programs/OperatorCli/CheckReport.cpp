#include "Programs/OperatorCli/CheckReport.h"

#include "Json/JsonWriter.h"

namespace acaciacross::operatorcli {

std::string CheckReport::text(const std::vector<CheckResult> &Results) {
  std::string Text;
  for (const CheckResult &Result : Results) {
    const bool IsValid = Result.Status == ExitStatus::Ok;
    Text += IsValid ? Result.File + ": valid (" + Result.Kind + ")"
                    : Result.Problem;
    Text += '\n';
  }
  return Text;
}

std::string CheckReport::json(const std::vector<CheckResult> &Results) {
  json::JsonWriter Json;
  Json.beginObject().key("files").beginArray();
  for (const CheckResult &Result : Results)
    Json.beginObject()
        .key("file")
        .string(Result.File)
        .key("kind")
        .string(Result.Kind)
        .key("valid")
        .boolean(Result.Status == ExitStatus::Ok)
        .key("problem")
        .string(Result.Problem)
        .endObject();
  Json.endArray().endObject();
  return Json.text() + '\n';
}

ExitStatus CheckReport::status(const std::vector<CheckResult> &Results) {
  for (const CheckResult &Result : Results)
    if (Result.Status != ExitStatus::Ok)
      return Result.Status;
  return ExitStatus::Ok;
}

} // namespace acaciacross::operatorcli
