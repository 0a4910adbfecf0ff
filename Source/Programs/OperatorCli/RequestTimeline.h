#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_REQUESTTIMELINE_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_REQUESTTIMELINE_H

#include <istream>
#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// Collects the log lines of all VMs about one request.
class RequestTimeline {
public:
  explicit RequestTimeline(std::string RequestId);

  /// Reads the lines of one log. Text before the JSON object of a line is
  /// ignored.
  void read(std::istream &Log);

  bool isEmpty() const;
  /// One line for each log line, ordered by time, with offsets from the first.
  std::string text() const;
  std::string json() const;

private:
  struct Line {
    double TimeMs = 0.0;
    std::string Object;
  };

  std::vector<Line> sorted() const;

  std::string Id;
  std::vector<Line> Lines;
};

} // namespace acaciacross::operatorcli

#endif
