#include "Programs/LoadGenerator/ClassShare.h"

#include <charconv>

namespace acaciacross::loadgenerator {

namespace {

/// Cuts the text up to the separator off the front.
std::string_view takeUpTo(std::string_view &Text, char Separator) {
  const std::size_t End = Text.find(Separator);
  const std::string_view Front = Text.substr(0, End);
  Text = End == std::string_view::npos ? "" : Text.substr(End + 1);
  return Front;
}

std::optional<ClassShare> parseShare(std::string_view Text) {
  ClassShare Share;
  Share.Name = common::ClassName(std::string(takeUpTo(Text, ':')));
  const std::string_view Weight = takeUpTo(Text, ':');
  const char *End = Weight.data() + Weight.size();
  const auto Parsed = std::from_chars(Weight.data(), End, Share.Weight);
  Share.NeedsTicket = Text == "ticket";
  if (Share.Name.Value.empty() || Weight.empty() || Parsed.ec != std::errc() ||
      Parsed.ptr != End || !(Share.Weight > 0) ||
      (!Text.empty() && !Share.NeedsTicket))
    return std::nullopt;
  return Share;
}

} // namespace

std::optional<std::vector<ClassShare>>
ClassShare::parseMix(std::string_view Text) {
  std::vector<ClassShare> Mix;
  while (!Text.empty()) {
    const auto Share = parseShare(takeUpTo(Text, ','));
    if (!Share)
      return std::nullopt;
    Mix.push_back(*Share);
  }
  if (Mix.empty())
    return std::nullopt;
  return Mix;
}

} // namespace acaciacross::loadgenerator
