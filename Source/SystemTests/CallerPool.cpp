#include "SystemTests/CallerPool.h"

#include "SystemTests/EntryVm.h"

#include <algorithm>
#include <random>

namespace acaciacross::systemtests {

namespace {

using std::chrono::steady_clock;

// Addresses are asked for again while the earlier ones are valid (3 s), so that
// the question itself never goes to an address that is no longer valid.
constexpr std::chrono::seconds AskAgainAfter{2};

} // namespace

CallerPool::CallerPool(std::size_t Callers, std::chrono::milliseconds Pause,
                       const std::set<std::string> &FirstAddresses)
    : Pause(Pause) {
  for (std::size_t I = 0; I < Callers; ++I)
    this->Threads.emplace_back(
        [this, I, FirstAddresses] { this->run(I, FirstAddresses); });
}

CallerPool::~CallerPool() { this->stop(); }

CallerTally CallerPool::stop() {
  this->Stopping = true;
  for (std::thread &Each : this->Threads)
    Each.join();
  this->Threads.clear();
  return this->tally();
}

CallerTally CallerPool::tally() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Tally;
}

void CallerPool::run(std::size_t Number, std::set<std::string> Addresses) {
  std::mt19937 Random(static_cast<std::uint32_t>(Number));
  const auto Pick = [&] {
    EntryVm Vm;
    Vm.Callers = *std::next(Addresses.begin(),
                            static_cast<long>(Random() % Addresses.size()));
    return Vm;
  };
  auto AskAt = steady_clock::now();
  for (std::uint64_t Count = 0; !this->Stopping; ++Count) {
    CallerTally Seen;
    if (steady_clock::now() >= AskAt) {
      AskAt = steady_clock::now() + AskAgainAfter;
      const EntryVm Asked = Pick();
      const auto Named = Asked.addresses();
      if (Named.empty())
        Seen.Problems.push_back("no addresses from " + Asked.Callers);
      else
        Addresses = Named;
    }
    const EntryVm Vm = Pick();
    const QueryAnswer Answer =
        Vm.query("pool-" + std::to_string(Number) + '-' + std::to_string(Count),
                 "plots");
    ++Seen.Sent[Vm.Callers];
    if (Answer.Outcome.empty())
      Seen.Problems.push_back(Answer.Reply.Problem + Answer.Reply.Body);
    else
      ++Seen.Outcomes[Answer.Outcome == "refused" || Answer.Outcome == "failed"
                          ? Answer.Outcome + ' ' + Answer.Result
                          : Answer.Outcome];
    {
      const std::scoped_lock Lock(this->Mutex);
      this->Tally.add(Seen);
    }
    std::this_thread::sleep_for(this->Pause);
  }
}

} // namespace acaciacross::systemtests
