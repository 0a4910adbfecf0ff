#include "Programs/LoadGenerator/ClassShare.h"

#include <charconv>

namespace acaciacross::loadgenerator {

namespace {

/// Removes and returns the text before the next separator.
std::string_view takeField(std::string_view &Text, char Separator) {
  const std::size_t FieldEnd = Text.find(Separator);
  const std::string_view Field = Text.substr(0, FieldEnd);
  Text = FieldEnd == std::string_view::npos ? "" : Text.substr(FieldEnd + 1);
  return Field;
}

std::optional<ClassShare> parseShare(std::string_view Text) {
  ClassShare Share;
  Share.Name = common::ClassName(std::string(takeField(Text, ':')));
  const std::string_view Weight = takeField(Text, ':');
  const char *WeightEnd = Weight.data() + Weight.size();
  const auto Parsed = std::from_chars(Weight.data(), WeightEnd, Share.Weight);
  Share.NeedsTicket = Text == "ticket";
  if (Share.Name.Value.empty() || Weight.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != WeightEnd || !(Share.Weight > 0) ||
      (!Text.empty() && !Share.NeedsTicket))
    return std::nullopt;
  return Share;
}

} // namespace

std::optional<std::vector<ClassShare>>
ClassShare::parseMix(std::string_view Text) {
  std::vector<ClassShare> Mix;
  while (!Text.empty()) {
    const auto Share = parseShare(takeField(Text, ','));
    if (!Share)
      return std::nullopt;
    Mix.push_back(*Share);
  }
  if (Mix.empty())
    return std::nullopt;
  return Mix;
}

} // namespace acaciacross::loadgenerator
