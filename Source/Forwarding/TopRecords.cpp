#include "Forwarding/TopRecords.h"

#include <algorithm>
#include <functional>

namespace acaciacross::forwarding {

namespace {

// Reducing a smaller part costs more than its memory is worth.
constexpr std::size_t MaxHeldFactor = 2;

} // namespace

std::string TopRecords::merge(const std::vector<std::string_view> &Parts,
                              std::size_t Count) {
  std::vector<std::string_view> Records;
  for (std::string_view Part : Parts)
    for (; Part.size() >= RecordBytes; Part.remove_prefix(RecordBytes))
      Records.push_back(Part.substr(0, RecordBytes));
  const std::size_t Kept = std::min(Count, Records.size());
  const auto End = Records.begin() + static_cast<std::ptrdiff_t>(Kept);
  // string_view compares bytes as unsigned values.
  std::partial_sort(Records.begin(), End, Records.end(), std::greater<>());
  std::string Merged;
  Merged.reserve(Kept * RecordBytes);
  for (auto It = Records.begin(); It != End; ++It)
    Merged.append(*It);
  return Merged;
}

void TopRecords::reduce(std::string &Part, std::size_t Count) {
  if (Part.capacity() / RecordBytes > MaxHeldFactor * Count)
    Part = merge({Part}, Count);
}

} // namespace acaciacross::forwarding
