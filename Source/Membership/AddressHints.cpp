#include "Membership/AddressHints.h"

#include <cstddef>
#include <iterator>
#include <utility>

namespace acaciacross::membership {

namespace {

// The VM list may be a minute old; a shorter lifetime would drop its addresses
// between two of its versions.
constexpr std::chrono::seconds HintLifetime{60};

} // namespace

AddressHints::AddressHints(common::Address OwnAddress, std::size_t MaxAddresses)
    : OwnAddress(std::move(OwnAddress)), Capacity(MaxAddresses) {}

void AddressHints::addSeed(const common::Address &Peer) {
  this->add(Peer, common::MonotonicTime::max());
}

void AddressHints::add(const common::Address &Peer, common::MonotonicTime Now) {
  if (Peer == this->OwnAddress || Peer.Port == 0)
    return;
  const auto It = this->MentionedAt.find(Peer);
  if (It != this->MentionedAt.end()) {
    if (It->second < Now)
      It->second = Now;
    return;
  }
  if (this->MentionedAt.size() >= this->Capacity)
    return;
  this->MentionedAt.emplace(Peer, Now);
  this->Untried.insert(Peer);
}

void AddressHints::retry(const common::Address &Peer) {
  if (this->MentionedAt.contains(Peer))
    this->Untried.insert(Peer);
}

std::optional<common::Address> AddressHints::takeUntried() {
  if (this->Untried.empty())
    return std::nullopt;
  return this->Untried.extract(this->Untried.begin()).value();
}

void AddressHints::markTried(const common::Address &Peer) {
  this->Untried.erase(Peer);
}

bool AddressHints::hasUntried() const { return !this->Untried.empty(); }

void AddressHints::expire(common::MonotonicTime Now) {
  std::erase_if(this->MentionedAt, [Now](const auto &Entry) {
    return Entry.second < Now && Now - Entry.second >= HintLifetime;
  });
}

std::size_t AddressHints::size() const { return this->MentionedAt.size(); }

const common::Address &AddressHints::at(std::size_t Position) const {
  return std::next(this->MentionedAt.begin(),
                   static_cast<std::ptrdiff_t>(Position))
      ->first;
}

std::vector<common::Address> AddressHints::addresses() const {
  std::vector<common::Address> Peers;
  for (const auto &[Peer, Time] : this->MentionedAt)
    Peers.push_back(Peer);
  return Peers;
}

} // namespace acaciacross::membership
