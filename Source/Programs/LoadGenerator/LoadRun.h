#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADRUN_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_LOADRUN_H

#include "Common/SeededRandom.h"
#include "Programs/LoadGenerator/AddressBook.h"
#include "Programs/LoadGenerator/ArrivalSchedule.h"
#include "Programs/LoadGenerator/HttpCalls.h"
#include "Programs/LoadGenerator/LoadReport.h"

#include <deque>

namespace acaciacross::loadgenerator {

/// Sends the requests of a schedule and collects the answers.
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

  AttemptCounts countAttempts();
  void admit(const Arrival &Next);
  /// Sends what waits for an address, or asks for addresses.
  void sendWaiting();
  void askForAddresses();
  void send(const common::Address &Where, const Request &Ready);
  void sendTicketRequest(const common::Address &Where, const Request &Ready);
  void sendQuery(const common::Address &Where, const Request &Ready);
  void answered(const Request &Sent, long Status, const std::string &Body);
  std::chrono::milliseconds timeLeft(const Request &Sent) const;

  LoadSettings Settings;
  common::SeededRandom Random;
  HttpCalls Calls;
  AddressBook Book;
  LoadReport Report;
  std::deque<Request> Waiting;
  common::MonotonicTime Started;
  bool AskingForAddresses = false;
  common::MonotonicTime AskAgainAt;
  std::uint64_t Admitted = 0;
};

} // namespace acaciacross::loadgenerator

#endif
