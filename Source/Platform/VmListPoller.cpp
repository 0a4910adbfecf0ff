#include "Platform/VmListPoller.h"

#include "Common/Log.h"
#include "Platform/PlatformError.h"
#include "Platform/VmListDecoder.h"

#include <utility>

namespace acaciacross::platform {

namespace {

constexpr std::chrono::milliseconds ReplyTimeout{5'000};
constexpr std::chrono::milliseconds MaxBackoff{30'000};

} // namespace

VmListPoller::VmListPoller(common::Address Server,
                           control::ControlThread &Target,
                           common::SeededRandom RandomNumbers,
                           std::chrono::milliseconds MinPeriod)
    : Service(std::move(Server)), Control(Target),
      Random(std::move(RandomNumbers)), Period(MinPeriod),
      CallBackoff(MinPeriod, MaxBackoff), Thread(*this) {}

void VmListPoller::start() { this->Thread.start(); }

void VmListPoller::stop() { this->Thread.stop(); }

std::chrono::milliseconds
VmListPoller::runStep(HttpFetcher &Fetcher,
                      const std::function<bool()> &IsStopping) {
  const HttpReply Reply =
      Fetcher.get(this->Service, "/v1/vms", ReplyTimeout, IsStopping);
  if (Reply.IsCancelled)
    return this->Period;
  if (Reply.Status != 200)
    return this->recordFailure(Reply.Status == 0
                                   ? Reply.Error
                                   : "status " + std::to_string(Reply.Status));
  try {
    this->Control.post(
        [Entries = VmListDecoder::decode(Reply.Body)](
            control::ControlState &State) { State.applyVmList(Entries); });
  } catch (const PlatformError &Error) {
    return this->recordFailure(Error.what());
  }
  this->CallBackoff.reset();
  const auto JitterRange = static_cast<std::uint64_t>(this->Period.count());
  return this->Period +
         std::chrono::milliseconds(this->Random.below(JitterRange));
}

std::chrono::milliseconds
VmListPoller::recordFailure(const std::string &Reason) {
  if (this->CallBackoff.isReset()) {
    common::logWarning(common::LogEvent::VmListUnavailable,
                       "reason=\"" + Reason + "\"");
    this->Control.post([Reason](control::ControlState &State) {
      State.recordAudit("service", "VM list", "unavailable: " + Reason);
    });
  }
  return this->CallBackoff.next(this->Random);
}

} // namespace acaciacross::platform
