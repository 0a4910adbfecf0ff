#ifndef ACACIACROSS_FRONTEND_REPORTRESPONDER_H
#define ACACIACROSS_FRONTEND_REPORTRESPONDER_H

#include "Frontend/EncodingResponder.h"
#include "Traffic/ReportSink.h"

#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Responds to a request with a page made from the metrics of all classes.
class ReportResponder final
    : public traffic::ReportSink,
      private EncodingResponder<std::vector<metrics::ClassReport>> {
public:
  using EncodingResponder::EncodingResponder;

  void onReports(std::vector<metrics::ClassReport> Reports) override {
    this->respond(std::move(Reports));
  }
};

} // namespace acaciacross::frontend

#endif
