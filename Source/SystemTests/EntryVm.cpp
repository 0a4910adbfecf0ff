#include "SystemTests/EntryVm.h"

#include "SystemTests/HttpCaller.h"

#include "Json/JsonWriter.h"

namespace acaciacross::systemtests {

namespace {

constexpr std::chrono::seconds ReplyTimeoutMargin{3};
constexpr std::chrono::seconds PageTimeout{1};

} // namespace

void EntryVm::start() {
  this->Process = std::make_unique<ProcessHandle>(
      ACACIACROSS_PROGRAMS_DIR "/acaciacross-entry",
      std::vector<std::string>{"--settings=" + this->SettingsFile},
      this->LogFile);
}

std::set<std::string> EntryVm::addresses() const {
  const json::JsonNode List = json::JsonNode::parse(
      HttpCaller::call("GET", this->CallerAddress + "/v1/addresses", "",
                       PageTimeout)
          .Body)["addresses"];
  std::set<std::string> Addresses;
  for (std::size_t I = 0; I < List.size(); ++I)
    Addresses.insert(
        List.element(I)["host"].string() + ':' +
        std::to_string(static_cast<int>(List.element(I)["port"].number())));
  return Addresses;
}

std::string EntryVm::ticket(const std::string &Class) const {
  const std::string Body = json::JsonWriter()
                               .beginObject()
                               .key("class")
                               .string(Class)
                               .endObject()
                               .text();
  return json::JsonNode::parse(
             HttpCaller::call("POST", this->CallerAddress + "/v1/tickets", Body)
                 .Body)["ticket"]
      .string();
}

QueryAnswer EntryVm::query(const std::string &Id, const std::string &Class,
                           const std::string &Ticket,
                           std::chrono::milliseconds Deadline) const {
  json::JsonWriter Json;
  Json.beginObject().key("id").string(Id).key("class").string(Class);
  Json.key("deadline_ms").number(static_cast<std::uint64_t>(Deadline.count()));
  Json.key("body").string("query of a system test");
  if (!Ticket.empty())
    Json.key("ticket").string(Ticket);
  Json.endObject();
  return QueryAnswer::from(
      HttpCaller::call("POST", this->CallerAddress + "/v1/query", Json.text(),
                       Deadline + ReplyTimeoutMargin));
}

json::JsonNode EntryVm::status() const {
  return json::JsonNode::parse(
      HttpCaller::call("GET", this->CallerAddress + "/v1/status", "",
                       PageTimeout)
          .Body);
}

std::set<std::string> EntryVm::fleet() const {
  const json::JsonNode Page = this->status();
  std::set<std::string> Addresses;
  if (Page["state"].string() != "serving")
    return Addresses;
  for (std::size_t I = 0; I < Page["fleet"].size(); ++I)
    Addresses.insert(Page["fleet"].element(I)["address"].string());
  return Addresses;
}

} // namespace acaciacross::systemtests
