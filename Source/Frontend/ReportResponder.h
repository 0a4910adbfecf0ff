#ifndef ACACIACROSS_FRONTEND_REPORTRESPONDER_H
#define ACACIACROSS_FRONTEND_REPORTRESPONDER_H

#include "Frontend/EncodedResponse.h"
#include "Traffic/ReportSink.h"

#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Answers a call with the metrics of all classes.
class ReportResponder final
    : public traffic::ReportSink,
      private EncodedResponse<std::vector<metrics::ClassReport>> {
public:
  using EncodedResponse::EncodedResponse;

  void onReports(std::vector<metrics::ClassReport> Reports) override {
    this->respond(std::move(Reports));
  }
};

} // namespace acaciacross::frontend

#endif
