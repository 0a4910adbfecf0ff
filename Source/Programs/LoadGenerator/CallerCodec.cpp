#include "Programs/LoadGenerator/CallerCodec.h"

#include "Json/JsonObject.h"
#include "Json/JsonWriter.h"

#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace acaciacross::loadgenerator {

namespace {

struct AddressEntry {
  common::Address Value;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("host", this->Value.Host),
       cereal::make_nvp("port", this->Value.Port));
  }
};

struct AddressesBody {
  std::vector<AddressEntry> Addresses;
  std::int64_t ValidMs = 0;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("addresses", this->Addresses),
       cereal::make_nvp("valid_ms", this->ValidMs));
  }
};

struct AnswerBody {
  CallerAnswer Answer;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("outcome", this->Answer.Outcome),
       cereal::make_nvp("coverage", this->Answer.Coverage));
  }
};

template <typename T> std::optional<T> decode(const std::string &Text) {
  try {
    std::istringstream Stream(Text);
    cereal::JSONInputArchive Archive(Stream);
    T Value;
    Value.serialize(Archive);
    return Value;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace

std::string CallerCodec::encodeTicketRequest(const std::string &Class) {
  json::JsonWriter Json;
  Json.beginObject().key("class").string(Class).endObject();
  return Json.text();
}

std::string CallerCodec::encodeQuery(const std::string &Id,
                                     const std::string &Class,
                                     std::chrono::milliseconds Deadline,
                                     const std::string &Ticket) {
  json::JsonWriter Json;
  Json.beginObject().key("id").string(Id).key("class").string(Class);
  Json.key("deadline_ms").number(static_cast<std::uint64_t>(Deadline.count()));
  Json.key("body").string("load " + Id);
  if (!Ticket.empty())
    Json.key("ticket").string(Ticket);
  Json.endObject();
  return Json.text();
}

std::optional<CallerCodec::AddressAnswer>
CallerCodec::decodeAddresses(const std::string &Text) {
  const auto Body = decode<AddressesBody>(Text);
  if (!Body || Body->Addresses.empty())
    return std::nullopt;
  AddressAnswer Answer;
  Answer.Validity = std::chrono::milliseconds(Body->ValidMs);
  Answer.Addresses.reserve(Body->Addresses.size());
  for (const AddressEntry &Entry : Body->Addresses)
    Answer.Addresses.push_back(Entry.Value);
  return Answer;
}

std::optional<std::string> CallerCodec::decodeTicket(const std::string &Text) {
  const auto Object = json::JsonObject::parse(Text);
  return Object ? Object->string("ticket") : std::nullopt;
}

std::optional<CallerAnswer> CallerCodec::decodeAnswer(const std::string &Text) {
  const auto Body = decode<AnswerBody>(Text);
  if (!Body)
    return std::nullopt;
  return Body->Answer;
}

} // namespace acaciacross::loadgenerator
