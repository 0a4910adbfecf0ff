#ifndef ACACIACROSS_QUERY_SEARCHERAVAILABILITY_H
#define ACACIACROSS_QUERY_SEARCHERAVAILABILITY_H

namespace acaciacross::query {

/// Whether a searcher may get new attempts.
enum class SearcherAvailability {
  Usable,
  /// Failed too often; gets no attempts until its ejection ends.
  Ejected,
  /// Draining; gets no attempts until it returns as a new process.
  Leaving,
};

} // namespace acaciacross::query

#endif
