#ifndef ACACIACROSS_UNITTESTS_DISCOVERY_ERASTORE_H
#define ACACIACROSS_UNITTESTS_DISCOVERY_ERASTORE_H

#include "Common/StorePosition.h"
#include "Discovery/StoreReader.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// A store in memory that may return to an earlier point of its history in the
/// next era. Its writers write again what it has lost.
class EraStore final : public StoreReader {
public:
  using Draw = std::function<std::size_t(std::size_t)>;

  explicit EraStore(Draw Random) : Random(std::move(Random)) {}

  /// Writes the value, or removes the key if it is empty.
  void write(const std::string &Key, const std::string &Value) {
    this->Lost.erase(Key);
    this->Written[Key] = Value;
    this->append(Key, Value);
  }

  /// Loses up to Count changes.
  void returnFromCopy(std::size_t Count) {
    std::vector<StoreChange> Kept = this->Eras.back();
    for (; Count > 0 && !Kept.empty(); --Count) {
      this->Lost.insert(Kept.back().Item.Key);
      Kept.pop_back();
    }
    for (StoreChange &Change : Kept)
      Change.Item.Position.Era = this->Eras.size() + 1;
    this->Eras.push_back(std::move(Kept));
  }

  /// Writes one lost key again. Returns false if there is none.
  bool writeLostAgain() {
    if (this->Lost.empty())
      return false;
    const std::string Key = *this->Lost.begin();
    this->Lost.erase(this->Lost.begin());
    this->append(Key, this->Written[Key]);
    return true;
  }

  common::StorePosition position() const {
    return {this->Eras.size(), this->Eras.back().size()};
  }

  /// The last value of the key up to the position; empty if there is none.
  std::string value(const std::string &Key, common::StorePosition UpTo) const {
    std::string Value;
    for (const StoreChange &Change : this->Eras[UpTo.Era - 1])
      if (Change.Item.Key == Key && Change.Item.Position <= UpTo)
        Value = Change.Item.Value;
    return Value;
  }

  /// One of two pages. A stale one may also be of the era before.
  StorePage readPage(const std::string &AfterKey,
                     ReadConsistency Consistency) override {
    if (this->BeforePage)
      this->BeforePage();
    std::size_t Era = this->Eras.size();
    const bool IsStale = Consistency == ReadConsistency::StaleAllowed;
    if (IsStale && Era > 1 && this->Random(4) == 0)
      --Era;
    const std::size_t Newest = this->Eras[Era - 1].size();
    const std::size_t Age = IsStale ? this->Random(4) : 0;
    const common::StorePosition At(Era, Newest - std::min(Age, Newest));
    StorePage Page{StoreStatus::Answered, {}, AfterKey.empty(), At};
    for (const auto &[Key, Value] : this->Written)
      if (Key > AfterKey && (Key <= "s/a") == AfterKey.empty())
        this->addItem(Page, Key);
    Page.HasMore = Page.HasMore && !Page.Items.empty();
    return Page;
  }

  StoreChanges awaitChanges(std::uint64_t AfterRevision,
                            std::chrono::milliseconds) override {
    const std::vector<StoreChange> &History = this->Eras.back();
    if (AfterRevision > History.size())
      return {StoreStatus::HistoryLost, {}, this->position()};
    return {StoreStatus::Answered,
            {History.begin() + static_cast<std::ptrdiff_t>(AfterRevision),
             History.end()},
            this->position()};
  }

  /// Called before each page is read.
  std::function<void()> BeforePage;

private:
  void append(const std::string &Key, const std::string &Value) {
    std::vector<StoreChange> &History = this->Eras.back();
    const common::StorePosition At(this->Eras.size(), History.size() + 1);
    History.push_back({{Key, Value, At}, Value.empty()});
  }

  void addItem(StorePage &Page, const std::string &Key) const {
    StoreItem Found;
    for (const StoreChange &Change : this->Eras[Page.Position.Era - 1])
      if (Change.Item.Key == Key && Change.Item.Position <= Page.Position)
        Found = Change.Item;
    if (!Found.Value.empty())
      Page.Items.push_back(Found);
  }

  Draw Random;
  /// The changes of each era from 1. The revision of each change is its place.
  std::vector<std::vector<StoreChange>> Eras{1};
  /// What the writers have written last.
  std::map<std::string, std::string> Written;
  std::set<std::string> Lost;
};

} // namespace acaciacross::discovery

#endif
