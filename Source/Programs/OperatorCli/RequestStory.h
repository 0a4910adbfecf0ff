#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_REQUESTSTORY_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_REQUESTSTORY_H

#include <istream>
#include <string>
#include <vector>

namespace acaciacross::operatorcli {

/// Collects what the logs of VMs say of one request.
class RequestStory {
public:
  explicit RequestStory(std::string RequestId);

  /// Takes the lines of one log; text before the JSON object is passed over.
  void read(std::istream &Log);

  bool isEmpty() const;
  /// The lines in the order of their times.
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
