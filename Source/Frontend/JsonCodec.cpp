#include "Frontend/JsonCodec.h"

#include "Json/JsonObject.h"
#include "Json/JsonWriter.h"

#include <algorithm>
#include <optional>

namespace acaciacross::frontend {

namespace {

// The id becomes a header of the requests to upstreams.
constexpr std::size_t MaxIdBytes = 256;
constexpr std::uint64_t MaxDeadlineMs = 600'000;

bool isValidId(const std::string &Id) {
  return Id.size() <= MaxIdBytes &&
         std::none_of(Id.begin(), Id.end(), [](char Character) {
           const auto Byte = static_cast<unsigned char>(Character);
           return Byte < 0x20 || Byte == 0x7f;
         });
}

DecodeError makeDecodeError(const CallerRequest &Request,
                            common::ResultCode Code) {
  const auto Prefix = json::JsonObject::parsePrefix(Request.Body);
  return {Code, common::RequestId(Prefix.string("id").value_or(""))};
}

std::optional<common::ResultCode> bodyReadError(const CallerRequest &Request) {
  if (Request.IsTooLarge)
    return common::ResultCode::RequestTooLarge;
  if (Request.IsOverloaded)
    return common::ResultCode::Overloaded;
  return std::nullopt;
}

unsigned statusOfRefusal(common::ResultCode Code) {
  switch (Code) {
  case common::ResultCode::MalformedRequest:
  case common::ResultCode::TicketMalformed:
    return 400;
  case common::ResultCode::UnknownClass:
  case common::ResultCode::NotFound:
    return 404;
  case common::ResultCode::RequestTooSlow:
    return 408;
  case common::ResultCode::RequestTooLarge:
    return 413;
  default:
    return 503;
  }
}

void writeShardAnswers(json::JsonWriter &Json,
                       const std::vector<query::ShardAnswer> &ShardAnswers) {
  Json.key("answers").beginArray();
  for (const query::ShardAnswer &Entry : ShardAnswers)
    Json.beginObject()
        .key("shard")
        .number(Entry.Shard.Value)
        .key("body")
        .string(Entry.Body)
        .endObject();
  Json.endArray();
}

void writeMissing(json::JsonWriter &Json,
                  const std::vector<query::MissingShard> &Missing) {
  Json.key("missing").beginArray();
  for (const query::MissingShard &Entry : Missing)
    Json.beginObject()
        .key("shard")
        .number(Entry.Shard.Value)
        .key("range_begin")
        .number(Entry.Range.Begin)
        .key("range_end")
        .number(Entry.Range.End)
        .endObject();
  Json.endArray();
}

void writeCommonMembers(json::JsonWriter &Json, const common::RequestId &Id,
                        const char *Outcome, common::ResultCode Code,
                        const char *Execution) {
  Json.beginObject()
      .key("id")
      .string(Id.Value)
      .key("outcome")
      .string(Outcome)
      .key("result_code")
      .number(static_cast<std::uint64_t>(Code))
      .key("result")
      .string(common::resultCodeName(Code))
      .key("run")
      .string(Execution);
}

void writeAnswer(json::JsonWriter &Json, const common::SnapshotId &Snapshot,
                 double Coverage,
                 const std::vector<query::MissingShard> &Missing,
                 const std::vector<query::ShardAnswer> &ShardAnswers) {
  Json.key("snapshot").string(Snapshot.Value).key("coverage").real(Coverage);
  writeMissing(Json, Missing);
  writeShardAnswers(Json, ShardAnswers);
}

struct ReplyWriter {
  const common::RequestId &Id;
  json::JsonWriter &Json;

  unsigned operator()(const query::CompleteAnswer &Answer) const {
    writeCommonMembers(this->Json, this->Id, "complete", common::ResultCode::Ok,
                       "ran");
    writeAnswer(this->Json, Answer.Snapshot, 1.0, {}, Answer.ShardAnswers);
    return 200;
  }
  unsigned operator()(const query::PartialAnswer &Answer) const {
    writeCommonMembers(this->Json, this->Id, "partial",
                       common::ResultCode::PartialCoverage, "ran");
    writeAnswer(this->Json, Answer.Snapshot, Answer.Coverage, Answer.Missing,
                Answer.ShardAnswers);
    return 200;
  }
  unsigned operator()(const query::Refusal &Refusal) const {
    writeCommonMembers(this->Json, this->Id, "refused", Refusal.Code,
                       "not_run");
    writeAnswer(this->Json, {}, 0.0, {}, {});
    return statusOfRefusal(Refusal.Code);
  }
  unsigned operator()(const query::Failure &Failure) const {
    writeCommonMembers(this->Json, this->Id, "failed", Failure.Code,
                       "may_have_run");
    writeAnswer(this->Json, {}, 0.0, {}, {});
    return 502;
  }
};

} // namespace

std::variant<traffic::TrafficRequest, DecodeError>
JsonCodec::decodeQuery(const CallerRequest &Request) {
  if (const auto Code = bodyReadError(Request))
    return makeDecodeError(Request, *Code);
  const auto Malformed = [&] {
    return makeDecodeError(Request, common::ResultCode::MalformedRequest);
  };
  const auto Object = json::JsonObject::parse(Request.Body);
  if (!Object ||
      !Object->hasOnly({"id", "class", "deadline_ms", "body", "ticket"}))
    return Malformed();
  const auto Id = Object->string("id");
  const auto Class = Object->string("class");
  const auto Deadline = Object->unsignedInteger("deadline_ms");
  const auto Body = Object->string("body");
  if (!Id || !Class || !Deadline || !Body || !isValidId(*Id))
    return Malformed();
  if (*Deadline == 0 || *Deadline > MaxDeadlineMs)
    return Malformed();

  traffic::TrafficRequest Decoded;
  Decoded.Id = common::RequestId(*Id);
  Decoded.Class = common::ClassName(*Class);
  Decoded.Body = *Body;
  Decoded.ReceivedAt = Request.ReceivedAt;
  Decoded.Deadline = Request.ReceivedAt + std::chrono::milliseconds(*Deadline);
  if (!Object->has("ticket"))
    return Decoded;
  const auto Text = Object->string("ticket");
  if (!Text)
    return Malformed();
  Decoded.Ticket = tickets::Ticket::parse(*Text);
  if (!Decoded.Ticket)
    return DecodeError{common::ResultCode::TicketMalformed, Decoded.Id};
  return Decoded;
}

std::variant<common::ClassName, DecodeError>
JsonCodec::decodeTicketRequest(const CallerRequest &Request) {
  if (const auto Code = bodyReadError(Request))
    return DecodeError{*Code, {}};
  const auto Object = json::JsonObject::parse(Request.Body);
  const auto Class = Object ? Object->string("class") : std::nullopt;
  if (!Class || !Object->hasOnly({"class"}))
    return DecodeError{common::ResultCode::MalformedRequest, {}};
  return common::ClassName(*Class);
}

HttpResponse JsonCodec::encodeReply(const common::RequestId &Id,
                                    const traffic::TrafficReply &Reply) {
  json::JsonWriter Json;
  HttpResponse Response;
  Response.Status = std::visit(ReplyWriter{Id, Json}, *Reply.Result);
  if (Reply.TicketOwner)
    Json.key("ticket_owner").string(Reply.TicketOwner->toString());
  Json.endObject();
  Response.Body = Json.text();
  return Response;
}

HttpResponse JsonCodec::encodeRefusal(const common::RequestId &Id,
                                      common::ResultCode Code) {
  return encodeReply(
      Id, {std::make_shared<const query::Outcome>(query::Refusal{Code}), {}});
}

HttpResponse JsonCodec::encodeTicket(const traffic::TicketReply &Reply) {
  if (!Reply.Ticket)
    return encodeRefusal({}, Reply.Code);
  json::JsonWriter Json;
  Json.beginObject()
      .key("ticket")
      .string(Reply.Ticket->toString())
      .key("valid_ms")
      .number(static_cast<std::uint64_t>(Reply.Validity.count()))
      .endObject();
  return {200, Json.text()};
}

HttpResponse
JsonCodec::encodeAddresses(std::span<const routing::AddressCandidate> Addresses,
                           std::chrono::milliseconds Validity) {
  json::JsonWriter Json;
  Json.beginObject().key("addresses").beginArray();
  for (const routing::AddressCandidate &Candidate : Addresses)
    Json.beginObject()
        .key("host")
        .string(Candidate.CallerAddress.Host)
        .key("port")
        .number(Candidate.CallerAddress.Port)
        .key("domain")
        .string(Candidate.FailureDomain)
        .endObject();
  Json.endArray()
      .key("valid_ms")
      .number(static_cast<std::uint64_t>(Validity.count()))
      .endObject();
  return {200, Json.text()};
}

HttpResponse
JsonCodec::encodeAudit(std::span<const control::AuditEntry> Entries) {
  json::JsonWriter Json;
  Json.beginObject().key("entries").beginArray();
  for (const control::AuditEntry &Entry : Entries) {
    const auto At = std::chrono::duration_cast<std::chrono::milliseconds>(
        Entry.At.time_since_epoch());
    Json.beginObject()
        .key("sequence")
        .number(Entry.Sequence)
        .key("at_unix_ms")
        .number(static_cast<std::uint64_t>(At.count()))
        .key("cause")
        .string(Entry.Cause)
        .key("subject")
        .string(Entry.Subject)
        .key("text")
        .string(Entry.Text)
        .endObject();
  }
  Json.endArray().endObject();
  return {200, Json.text()};
}

} // namespace acaciacross::frontend
