#ifndef ACACIACROSS_LIMITS_ADMISSIONQUEUE_H
#define ACACIACROSS_LIMITS_ADMISSIONQUEUE_H

#include "Limits/AdaptiveLimit.h"
#include "Limits/AdmissionDecision.h"
#include "Limits/ClassQueue.h"
#include "Limits/ExpiredEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace acaciacross::limits {

/// Admits the requests of one service. At most as many run at a time as the
/// adaptive limit allows; the others wait, with fair queueing between the
/// classes. Requests that would be answered too late are refused. A refused
/// request has not run.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdaptiveLimitSettings Bounds);

  /// Changes the bounds of the adaptive limit.
  void setBounds(AdaptiveLimitSettings Bounds);

  /// Adds a class or changes its settings.
  void configure(const common::ClassName &Class, AdmissionClass Settings);

  /// Removes a class that has no waiting or running requests.
  void remove(const common::ClassName &Class);
  /// Number of classes.
  std::size_t classCount() const;

  /// The class must be configured.
  AdmissionDecision offer(const AdmissionEntry &Entry,
                          common::MonotonicTime Now);
  /// Records the end of an admitted query; Latency is measured from its
  /// admission. ShedShare: share of its attempts that searchers shed.
  void onFinished(const common::ClassName &Class, common::MonotonicTime Now,
                  std::chrono::nanoseconds Latency, double ShedShare);
  /// Deleted, because a bool would convert to a share of 0 or 1.
  void onFinished(const common::ClassName &Class, common::MonotonicTime Now,
                  std::chrono::nanoseconds Latency, bool ShedShare) = delete;
  /// Removes and returns the requests that may run now. Must be called after
  /// onFinished and takeExpired.
  std::vector<AdmissionEntry> takeReady(common::MonotonicTime Now);
  /// Removes and returns the requests that have waited too long.
  std::vector<ExpiredEntry> takeExpired(common::MonotonicTime Now);
  /// Next time at which takeExpired has a result; empty when no request waits.
  std::optional<common::MonotonicTime> nextExpiry() const;

  std::uint32_t limit() const;
  std::uint32_t running() const;
  std::size_t queued() const;

private:
  bool canFinish(const ClassQueue &Queue, const AdmissionEntry &Entry,
                 common::MonotonicTime Now) const;
  std::chrono::nanoseconds maxWait(const ClassQueue &Queue) const;
  std::chrono::nanoseconds expectedWait(const ClassQueue &Queue) const;
  common::MonotonicTime expiryOf(const ClassQueue &Queue,
                                 const AdmissionEntry &Entry) const;
  void updateDrainInterval(common::MonotonicTime Now);
  void recordStart(ClassQueue &Queue);
  void expire(common::MonotonicTime Now);
  ClassQueue *nextQueue();

  AdaptiveLimit Limit;
  std::map<std::string, ClassQueue> Queues;
  /// Entries that are removed from their queues but not returned by takeExpired
  /// yet.
  std::vector<ExpiredEntry> Expired;
  std::uint32_t Running = 0;
  /// Mean time between the ends of queries while requests wait.
  std::optional<std::chrono::nanoseconds> DrainInterval;
  std::optional<common::MonotonicTime> LastFinishedAt;
  /// Virtual time of the class that was served last.
  double VirtualNow = 0.0;
};

} // namespace acaciacross::limits

#endif
