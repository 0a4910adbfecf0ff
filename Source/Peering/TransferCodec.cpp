#include "Peering/TransferCodec.h"

#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"
#include "Peering/WireReader.h"
#include "Peering/WireWriter.h"

#include <algorithm>

namespace acaciacross::peering {

namespace {

using configuration::ConfigurationChange;

// Endianness, version, kind, two flags, revision, count and era.
constexpr std::size_t FixedBytes = 19;

std::size_t encodedSize(const ConfigurationChange &Change) {
  return 1 + Change.Key.size() + 8 + 4 + Change.Text.size();
}

std::size_t countFitting(const std::vector<ConfigurationChange> &Changes) {
  std::size_t RemainingBytes = MaxChangesBytes - FixedBytes;
  std::size_t Count = 0;
  while (Count < std::min(MaxKeys, Changes.size()) &&
         encodedSize(Changes[Count]) <= RemainingBytes) {
    RemainingBytes -= encodedSize(Changes[Count]);
    ++Count;
  }
  return Count;
}

// Without the changes that do not fit, only those before the first of them are
// covered. 0 says that the sender cannot tell.
common::Revision
coveredRevision(const std::vector<ConfigurationChange> &Changes,
                std::size_t Count,
                std::optional<common::Revision> ChangesUpTo) {
  if (!ChangesUpTo || Count == Changes.size())
    return ChangesUpTo.value_or(common::Revision(0));
  return std::min(*ChangesUpTo,
                  common::Revision(Changes[Count].Revision.Value - 1));
}

void expectKind(const WireReader &In, MessageKind Kind) {
  if (In.kind() != Kind)
    throw PeerMessageError("another kind of message than expected");
}

bool readFlag(WireReader &In) {
  const auto Flag = In.number<std::uint8_t>();
  if (Flag > 1)
    throw PeerMessageError("a flag that is neither 0 nor 1");
  return Flag == 1;
}

ConfigurationChange readChange(WireReader &In) {
  ConfigurationChange Change;
  Change.Key = In.name(MaxKeyBytes);
  Change.Revision = common::Revision(In.number<std::uint64_t>());
  Change.Text = In.document(MaxDocumentBytes);
  return Change;
}

} // namespace

std::string encodePull(const ConfigurationPullMessage &Message) {
  WireWriter Out(MessageKind::ConfigurationPull);
  const std::size_t Count = std::min(MaxKeys, Message.KnownRevisions.size());
  Out.number(Message.AfterRevision.Value);
  Out.number(static_cast<std::uint16_t>(Count));
  auto Entry = Message.KnownRevisions.begin();
  for (std::size_t Index = 0; Index < Count; ++Index, ++Entry) {
    Out.name(Entry->first, MaxKeyBytes);
    Out.number(Entry->second.Value);
  }
  Out.era(Message.Era);
  return Out.bytes();
}

ConfigurationPullMessage decodePull(std::string_view Bytes) try {
  if (Bytes.size() > MaxPullBytes)
    throw PeerMessageError("a pull over the limit");
  WireReader In(Bytes);
  expectKind(In, MessageKind::ConfigurationPull);
  ConfigurationPullMessage Message;
  Message.AfterRevision = common::Revision(In.number<std::uint64_t>());
  const std::size_t Count = In.count(MaxKeys);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const std::string Key = In.name(MaxKeyBytes);
    Message.KnownRevisions[Key] = common::Revision(In.number<std::uint64_t>());
  }
  Message.Era = In.era();
  In.finish();
  return Message;
} catch (const cereal::Exception &Error) {
  throw PeerMessageError(Error.what());
}

std::string encodeChanges(const std::vector<ConfigurationChange> &Changes,
                          std::optional<common::Revision> CompleteAt,
                          std::optional<common::Revision> ChangesUpTo,
                          std::uint64_t Era) {
  WireWriter Out(MessageKind::ConfigurationChanges);
  const std::size_t Count = countFitting(Changes);
  const bool HasMore = Count < Changes.size();
  const bool IsComplete = CompleteAt.has_value() && !HasMore;
  Out.number(static_cast<std::uint8_t>(HasMore ? 1 : 0));
  Out.number(static_cast<std::uint8_t>(IsComplete ? 1 : 0));
  Out.number(IsComplete ? CompleteAt->Value
                        : coveredRevision(Changes, Count, ChangesUpTo).Value);
  Out.number(static_cast<std::uint16_t>(Count));
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Out.name(Changes[Index].Key, MaxKeyBytes);
    Out.number(Changes[Index].Revision.Value);
    Out.document(Changes[Index].Text, MaxDocumentBytes);
  }
  Out.era(Era);
  return Out.bytes();
}

ConfigurationChangesMessage decodeChanges(std::string_view Bytes) try {
  if (Bytes.size() > MaxChangesBytes)
    throw PeerMessageError("changes over the limit");
  WireReader In(Bytes);
  expectKind(In, MessageKind::ConfigurationChanges);
  ConfigurationChangesMessage Message;
  Message.HasMore = readFlag(In);
  const bool IsComplete = readFlag(In);
  const common::Revision At(In.number<std::uint64_t>());
  if (IsComplete)
    Message.CompleteAt = At;
  else if (At.Value > 0)
    Message.ChangesUpTo = At;
  const std::size_t Count = In.count(MaxKeys);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Message.Changes.push_back(readChange(In));
  Message.Era = In.era();
  In.finish();
  return Message;
} catch (const cereal::Exception &Error) {
  throw PeerMessageError(Error.what());
}

} // namespace acaciacross::peering
