#ifndef ACACIACROSS_UNITTESTS_DISCOVERY_FAKESTORE_H
#define ACACIACROSS_UNITTESTS_DISCOVERY_FAKESTORE_H

#include "Discovery/StoreReader.h"

#include <deque>
#include <functional>
#include <vector>

namespace acaciacross::discovery {

/// Returns scripted answers and records the calls.
class FakeStore final : public StoreReader {
public:
  StorePage readPage(const std::string &AfterKey,
                     ReadConsistency Consistency) override {
    this->Consistencies.push_back(Consistency);
    this->PagesAfter.push_back(AfterKey);
    return nextAnswer(this->Pages);
  }

  StoreChanges awaitChanges(std::uint64_t AfterRevision,
                            std::chrono::milliseconds Wait) override {
    this->WatchesAfter.push_back(AfterRevision);
    this->LongestWait = std::max(this->LongestWait, Wait);
    if (this->BeforeWatchAnswer)
      this->BeforeWatchAnswer();
    return nextAnswer(this->Watches);
  }

  std::deque<StorePage> Pages;
  std::deque<StoreChanges> Watches;
  std::vector<std::string> PagesAfter;
  std::vector<ReadConsistency> Consistencies;
  std::vector<std::uint64_t> WatchesAfter;
  std::chrono::milliseconds LongestWait{0};
  /// Called while a watch waits.
  std::function<void()> BeforeWatchAnswer;

private:
  template <typename Answer>
  static Answer nextAnswer(std::deque<Answer> &Answers) {
    if (Answers.empty())
      return {};
    Answer Next = Answers.front();
    Answers.pop_front();
    return Next;
  }
};

} // namespace acaciacross::discovery

#endif
