#ifndef ACACIACROSS_QUERY_SEARCHERAVAILABILITY_H
#define ACACIACROSS_QUERY_SEARCHERAVAILABILITY_H

namespace acaciacross::query {

/// Whether a searcher may get new attempts.
enum class SearcherAvailability {
  Usable,
  /// Failed too often; gets nothing until its ejection ends.
  Ejected,
  /// Drains; gets nothing again until it comes back as a new process.
  Leaving,
};

} // namespace acaciacross::query

#endif
