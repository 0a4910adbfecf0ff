#include "Gateway/NoticeLog.h"

namespace acaciacross::gateway {

namespace {

logging::LogRecord lineFor(common::LogEvent Event,
                           const UpstreamAttempt &Attempt) {
  const forwarding::SearcherEntry &Searcher = Attempt.Replica->entry();
  logging::LogRecord Line(Event);
  Line.text("searcher", Searcher.Id.Value)
      .text("service", Searcher.Service.Value)
      .text("request", Attempt.Request->Id.Value);
  return Line;
}

} // namespace

NoticeLog::NoticeLog(logging::EventLog &Log) : Log(Log) {}

void NoticeLog::write(const UpstreamAttempt &Attempt,
                      const forwarding::SearcherNotice &Notice) {
  if (Notice.IsLeaving)
    this->Log.write(lineFor(common::LogEvent::SearcherLeaving, Attempt));
  if (Notice.Pause)
    this->Log.write(lineFor(common::LogEvent::SearcherPaused, Attempt)
                        .milliseconds("pause_ms", *Notice.Pause));
  if (!Notice.InvalidPause.empty())
    this->Log.write(lineFor(common::LogEvent::ResponseHeaderInvalid, Attempt)
                        .text("field", "requested pause")
                        .text("value", Notice.InvalidPause)
                        .text("allowed", "a number of seconds above 0"));
  if (!Notice.InvalidColdLeft.empty())
    this->Log.write(
        lineFor(common::LogEvent::ResponseHeaderInvalid, Attempt)
            .text("field", "time to stay cold")
            .text("value", Notice.InvalidColdLeft)
            .text("allowed", "whole milliseconds from 0 to one day"));
}

} // namespace acaciacross::gateway
