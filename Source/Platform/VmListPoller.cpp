#include "Platform/VmListPoller.h"

#include "Common/Log.h"
#include "Platform/PlatformError.h"
#include "Platform/VmListDecoder.h"

#include <utility>

namespace acaciacross::platform {

namespace {

constexpr std::chrono::milliseconds ReplyTime{5'000};
constexpr std::chrono::milliseconds LongestBackoff{30'000};

} // namespace

VmListPoller::VmListPoller(common::Address Server,
                           control::ControlThread &Target,
                           common::SeededRandom RandomNumbers,
                           std::chrono::milliseconds ShortestPeriod)
    : Service(std::move(Server)), Control(Target),
      Random(std::move(RandomNumbers)), Period(ShortestPeriod),
      Waiting(ShortestPeriod, LongestBackoff), Thread(*this) {}

void VmListPoller::start() { this->Thread.start(); }

void VmListPoller::stop() { this->Thread.stop(); }

std::chrono::milliseconds
VmListPoller::runStep(HttpFetcher &Fetcher,
                      const std::function<bool()> &IsStopping) {
  const HttpReply Reply =
      Fetcher.get(this->Service, "/v1/vms", ReplyTime, IsStopping);
  if (Reply.Cancelled)
    return this->Period;
  if (Reply.Status != 200)
    return this->refuse(Reply.Status == 0
                            ? Reply.Error
                            : "status " + std::to_string(Reply.Status));
  try {
    this->Control.post(
        [Entries = VmListDecoder::decode(Reply.Body)](
            control::ControlState &State) { State.applyVmList(Entries); });
  } catch (const PlatformError &Error) {
    return this->refuse(Error.what());
  }
  this->Waiting.reset();
  const auto Spread = static_cast<std::uint64_t>(this->Period.count());
  return this->Period + std::chrono::milliseconds(this->Random.below(Spread));
}

std::chrono::milliseconds VmListPoller::refuse(const std::string &Reason) {
  if (this->Waiting.isFirst()) {
    common::logWarning(common::LogEvent::VmListUnavailable,
                       "reason=\"" + Reason + "\"");
    this->Control.post([Reason](control::ControlState &State) {
      State.note("service", "VM list", "unavailable: " + Reason);
    });
  }
  return this->Waiting.next(this->Random);
}

} // namespace acaciacross::platform
