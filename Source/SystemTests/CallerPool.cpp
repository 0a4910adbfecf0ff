#include "SystemTests/CallerPool.h"

#include "SystemTests/EntryVm.h"

#include <algorithm>
#include <random>

namespace acaciacross::systemtests {

namespace {

using std::chrono::steady_clock;

// Shorter than the validity of an address answer (3 s), so that the request for
// new addresses is never sent to an expired one.
constexpr std::chrono::seconds RefreshInterval{2};

} // namespace

CallerPool::CallerPool(std::size_t Callers, std::chrono::milliseconds Pause,
                       const std::set<std::string> &FirstAddresses)
    : Pause(Pause) {
  for (std::size_t I = 0; I < Callers; ++I)
    this->Threads.emplace_back(
        [this, I, FirstAddresses] { this->run(I, FirstAddresses); });
}

CallerPool::~CallerPool() { this->stop(); }

CallerCounts CallerPool::stop() {
  this->Stopping = true;
  for (std::thread &Thread : this->Threads)
    Thread.join();
  this->Threads.clear();
  return this->counts();
}

CallerCounts CallerPool::counts() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Counts;
}

void CallerPool::run(std::size_t CallerIndex, std::set<std::string> Addresses) {
  std::mt19937 Random(static_cast<std::uint32_t>(CallerIndex));
  const auto PickVm = [&] {
    EntryVm Vm;
    Vm.CallerAddress = *std::next(
        Addresses.begin(), static_cast<long>(Random() % Addresses.size()));
    return Vm;
  };
  auto RefreshAt = steady_clock::now();
  for (std::uint64_t Count = 0; !this->Stopping; ++Count) {
    CallerCounts Increment;
    if (steady_clock::now() >= RefreshAt) {
      RefreshAt = steady_clock::now() + RefreshInterval;
      const EntryVm AskedVm = PickVm();
      const auto ListedAddresses = AskedVm.addresses();
      if (ListedAddresses.empty())
        Increment.Errors.push_back("no addresses from " +
                                   AskedVm.CallerAddress);
      else
        Addresses = ListedAddresses;
    }
    const EntryVm Vm = PickVm();
    const QueryAnswer Answer = Vm.query("pool-" + std::to_string(CallerIndex) +
                                            '-' + std::to_string(Count),
                                        "plots");
    ++Increment.QueriesByAddress[Vm.CallerAddress];
    if (Answer.Outcome.empty())
      Increment.Errors.push_back(Answer.Reply.Error + Answer.Reply.Body);
    else
      ++Increment
            .Outcomes[Answer.Outcome == "refused" || Answer.Outcome == "failed"
                          ? Answer.Outcome + ' ' + Answer.Result
                          : Answer.Outcome];
    {
      const std::scoped_lock Lock(this->Mutex);
      this->Counts.add(Increment);
    }
    std::this_thread::sleep_for(this->Pause);
  }
}

} // namespace acaciacross::systemtests
