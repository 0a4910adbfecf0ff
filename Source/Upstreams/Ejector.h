#ifndef ACACIACROSS_UPSTREAMS_EJECTOR_H
#define ACACIACROSS_UPSTREAMS_EJECTOR_H

#include "Upstreams/DrainRegistry.h"
#include "Upstreams/EjectionPolicy.h"
#include "Upstreams/SearcherStates.h"
#include "Upstreams/UpstreamChanges.h"

#include <memory>

namespace acaciacross::upstreams {

/// Carries out the ejection policy within its bounds.
class Ejector {
public:
  /// The references must outlive the ejector.
  Ejector(std::unique_ptr<const EjectionPolicy> Rules,
          SearcherStates &AllStates, const DrainRegistry &AllDrains,
          UpstreamChanges &Log);

  /// Ejects the searcher when it is faulty and the bounds allow it.
  void consider(SearcherState &State, common::MonotonicTime Now);

  /// Ends the ejection when its time is over.
  void expire(SearcherState &State, common::MonotonicTime Now);

  /// Ends the ejection at once, if there is one.
  void lift(SearcherState &State, const std::string &Cause,
            common::MonotonicTime Now);

  /// Ends ejections until the group has no more than the policy allows; needed
  /// when groups change.
  void enforceBound(const ReplicaGroup &Group, common::MonotonicTime Now);

private:
  bool mayEject(const SearcherState &State) const;
  bool isUsable(common::SearcherIndex Searcher) const;
  bool suspectsSelf(common::MonotonicTime Now) const;
  void suppress(const SearcherState &State, common::MonotonicTime Now);
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
