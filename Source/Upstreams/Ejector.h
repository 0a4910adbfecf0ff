#ifndef ACACIACROSS_UPSTREAMS_EJECTOR_H
#define ACACIACROSS_UPSTREAMS_EJECTOR_H

#include "Upstreams/DrainRegistry.h"
#include "Upstreams/EjectionPolicy.h"
#include "Upstreams/SearcherStates.h"
#include "Upstreams/UpstreamChanges.h"

#include <memory>

namespace acaciacross::upstreams {

/// Ejects faulty searchers and restores them, within the limits of the ejection
/// policy.
class Ejector {
public:
  /// The references must outlive the ejector.
  Ejector(std::unique_ptr<const EjectionPolicy> Rules,
          SearcherStates &TrackedStates, const DrainRegistry &Registry,
          UpstreamChanges &ChangeLog);

  /// Ejects the searcher if it is faulty and the limits allow it.
  void ejectIfFaulty(SearcherState &State, common::MonotonicTime Now);

  /// Restores the searcher if the time of its ejection is over.
  void restoreIfExpired(SearcherState &State, common::MonotonicTime Now);

  /// Restores the searcher immediately if it is ejected.
  void endEjection(SearcherState &State, const std::string &Cause,
                   common::MonotonicTime Now);

  /// Restores searchers until the group has no more ejected ones than the
  /// policy allows. To be called when replica groups change.
  void enforceEjectionLimit(const ReplicaGroup &Group,
                            common::MonotonicTime Now);

private:
  bool canEject(const SearcherState &State) const;
  bool isUsable(common::SearcherIndex Searcher) const;
  bool suspectsLocalFault(common::MonotonicTime Now) const;
  void suppressEjection(const SearcherState &State, common::MonotonicTime Now);
  void eject(SearcherState &State, common::MonotonicTime Now);
  void restore(SearcherState &State, const std::string &Cause,
               common::MonotonicTime Now);
  std::size_t countEjected(const ReplicaGroup &Group) const;

  std::unique_ptr<const EjectionPolicy> Policy;
  SearcherStates &States;
  const DrainRegistry &Drains;
  UpstreamChanges &Changes;
  std::optional<common::MonotonicTime> SuppressionLoggedAt;
};

} // namespace acaciacross::upstreams

#endif
