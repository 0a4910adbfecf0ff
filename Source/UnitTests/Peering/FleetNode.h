#ifndef ACACIACROSS_UNITTESTS_PEERING_FLEETNODE_H
#define ACACIACROSS_UNITTESTS_PEERING_FLEETNODE_H

#include "Common/SeededRandom.h"
#include "Common/SystemClock.h"
#include "Control/ControlThread.h"
#include "Peering/FleetMember.h"
#include "UnitTests/Control/RunOnControlThread.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace acaciacross::peering {

/// The control thread and the fleet member of one entry VM, without a
/// configuration service.
class FleetNode : public ReaderRole {
public:
  FleetNode(const std::string &Id, const common::Address &PeerAddress,
            std::vector<common::Address> Seeds, std::uint64_t Seed)
      : Random(Seed) {
    configuration::EntrySettings Settings;
    Settings.Vm = common::VmId(Id);
    Settings.Zone = "lake-1";
    Settings.FailureDomain = "lake-1-rack-a";
    Settings.CallerAddress = {"127.0.0.1", 7101};
    Settings.PeerAddress = PeerAddress;
    Settings.SeedAddresses = std::move(Seeds);
    this->Control = std::make_unique<control::ControlThread>(
        std::make_unique<control::ControlState>(Settings, this->Time),
        this->Time);
    this->Member = std::make_unique<FleetMember>(
        this->Control->state(), common::Incarnation(this->Random.next()),
        this->Control->reactor(), this->Time, this->Random, *this);
    this->Control->start();
  }
  ~FleetNode() override { this->Control->stop(); }

  void setReader(bool IsElected) override { this->IsReader = IsElected; }
  void readOnce() override { ++this->Reads; }

  /// Runs Work on the control thread and returns its result.
  template <typename Result>
  Result ask(std::function<Result(control::ControlState &)> Work) {
    return control::runOnControlThread<Result>(*this->Control, Work);
  }

  /// Waits until the condition holds; false after ten seconds.
  bool waitFor(const std::function<bool(control::ControlState &)> &Condition) {
    const auto End = this->Time.monotonicNow() + std::chrono::seconds(10);
    while (this->Time.monotonicNow() < End) {
      if (this->ask<bool>(Condition))
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  /// Waits until the audit trail has an entry with this subject and text; false
  /// after ten seconds.
  bool waitForAudit(const std::string &Subject, const std::string &Text) {
    return this->waitFor([&](control::ControlState &State) {
      for (const control::AuditEntry &Entry : State.audit().after(0)) {
        if (Entry.Subject == Subject && Entry.Text == Text)
          return true;
      }
      return false;
    });
  }

  /// Waits until the view lists Count entry VMs; false after ten seconds.
  bool waitForEntryVms(std::size_t Count) {
    return this->waitFor([Count](control::ControlState &State) {
      return State.buildView()->EntryVms.size() == Count;
    });
  }

  common::SystemClock Time;
  common::SeededRandom Random;
  std::atomic<bool> IsReader = false;
  std::atomic<int> Reads = 0;
  std::unique_ptr<control::ControlThread> Control;
  std::unique_ptr<FleetMember> Member;
};

} // namespace acaciacross::peering

#endif
