#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADRUN_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADRUN_H

#include "Common/SeededRandom.h"
#include "Programs/LoadGenerator/AddressCache.h"
#include "Programs/LoadGenerator/ArrivalSchedule.h"
#include "Programs/LoadGenerator/HttpCallRunner.h"
#include "Programs/LoadGenerator/LoadReport.h"

#include <deque>

namespace acaciacross::loadgenerator {

/// Sends the requests of a schedule and collects the results.
class LoadRun {
public:
  explicit LoadRun(const LoadSettings &Settings);

  LoadReport run();

private:
  struct Request {
    std::string Id;
    ClassShare Class;
    common::MonotonicTime SendAt;
    std::string Ticket;
  };

  AttemptCounts fetchAttemptCounts();
  void enqueue(const Arrival &Next);
  /// Sends the waiting requests, or requests addresses when none is valid.
  void sendWaiting();
  void requestAddresses();
  void send(const common::Address &Target, const Request &Query);
  void sendTicketRequest(const common::Address &Target, const Request &Query);
  void sendQuery(const common::Address &Target, const Request &Query);
  void answered(const Request &Query, long Status, const std::string &Body);
  std::chrono::milliseconds timeLeft(const Request &Query) const;

  LoadSettings Settings;
  common::SeededRandom Random;
  HttpCallRunner Calls;
  AddressCache Addresses;
  LoadReport Report;
  std::deque<Request> WaitingRequests;
  common::MonotonicTime StartedAt;
  bool IsRequestingAddresses = false;
  common::MonotonicTime NextAddressRequestAt;
  std::uint64_t ArrivalCount = 0;
};

} // namespace acaciacross::loadgenerator

#endif
