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

/// Admits the requests of one service: at most as many at a time as the
/// adaptive limit allows, the others in turn between the classes. Refuses what
/// would come too late; nothing that it refuses has run.
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdaptiveLimitSettings Bounds);

  /// Changes the bounds of the adaptive limit.
  void setBounds(AdaptiveLimitSettings Bounds);

  /// Adds a class or changes its settings.
  void configure(const common::ClassName &Class, AdmissionClass Settings);

  /// Removes a class of which nothing waits or runs.
  void remove(const common::ClassName &Class);
  /// Number of classes.
  std::size_t classCount() const;

  /// The class must be configured.
  AdmissionDecision offer(const AdmissionEntry &Entry,
                          common::MonotonicTime Now);
  /// An admitted query has ended; Latency is counted from its admission.
  /// ShedPart: part of its attempts that searchers shed.
  void onFinished(const common::ClassName &Class, common::MonotonicTime Now,
                  std::chrono::nanoseconds Latency, double ShedPart);
  /// A truth value would pass for a part of 1.
  void onFinished(const common::ClassName &Class, common::MonotonicTime Now,
                  std::chrono::nanoseconds Latency, bool ShedPart) = delete;
  /// Requests that run now. To be called after onFinished and takeExpired.
  std::vector<AdmissionEntry> takeReady(common::MonotonicTime Now);
  /// Requests that have waited too long.
  std::vector<ExpiredEntry> takeExpired(common::MonotonicTime Now);
  /// When takeExpired is due; empty when nothing waits.
  std::optional<common::MonotonicTime> nextExpiry() const;

  std::uint32_t limit() const;
  std::uint32_t running() const;
  std::size_t queued() const;

private:
  bool canFinish(const ClassQueue &Queue, const AdmissionEntry &Entry,
                 common::MonotonicTime Now) const;
  std::chrono::nanoseconds longestWait(const ClassQueue &Queue) const;
  std::chrono::nanoseconds expectedWait(const ClassQueue &Queue) const;
  common::MonotonicTime expiryOf(const ClassQueue &Queue,
                                 const AdmissionEntry &Entry) const;
  void measureDrain(common::MonotonicTime Now);
  void charge(ClassQueue &Queue);
  void expire(common::MonotonicTime Now);
  ClassQueue *nextQueue();

  AdaptiveLimit Limit;
  std::map<std::string, ClassQueue> Queues;
  /// Left their queues, but were not handed over yet.
  std::vector<ExpiredEntry> Expired;
  std::uint32_t Running = 0;
  /// Mean time between ends of queries while requests wait.
  std::optional<std::chrono::nanoseconds> DrainInterval;
  std::optional<common::MonotonicTime> DrainingSince;
  /// Virtual time of the class that was served last.
  double VirtualNow = 0.0;
};

} // namespace acaciacross::limits

#endif
