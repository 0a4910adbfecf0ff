#ifndef ACACIACROSS_UNITTESTS_PEERING_MESSAGESAMPLES_H
#define ACACIACROSS_UNITTESTS_PEERING_MESSAGESAMPLES_H

#include "Membership/Heartbeat.h"

#include <string>

namespace acaciacross::peering {

/// A heartbeat with the given numbers of member updates and drain notices,
/// whose names have NameBytes bytes.
inline membership::Heartbeat sampleHeartbeat(std::size_t Updates,
                                             std::size_t Notices,
                                             std::size_t NameBytes = 7) {
  const std::string Name(NameBytes, 'n');
  membership::Heartbeat Content;
  Content.Sender.Vm = common::VmId(Name);
  Content.Sender.Incarnation = common::Incarnation(0x0123456789ABCDEFU);
  Content.Sender.State = membership::ServingState::Serving;
  Content.Sender.CallerAddress = {"10.1.2.3", 7101};
  Content.Sender.FailureDomain = "lake-1-rack-a";
  Content.Sender.PositionInEffect = 77;
  Content.Sender.ConfigurationDigest = 0xFEDCBA9876543210U;
  Content.Sender.ServiceAnswerAge = std::chrono::milliseconds(1234);
  for (std::size_t Index = 0; Index < Updates; ++Index)
    Content.Updates.push_back({common::VmId(Name), common::Incarnation(Index),
                               membership::ServingState::Leaving,
                               common::Address{"10.1.2.4", 7201}});
  for (std::size_t Index = 0; Index < Notices; ++Index)
    Content.Drains.push_back({common::SearcherId(Name + std::to_string(Index)),
                              std::chrono::milliseconds(100 * Index)});
  return Content;
}

} // namespace acaciacross::peering

#endif
