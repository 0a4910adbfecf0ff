#ifndef ACACIACROSS_FRONTEND_REPORTRESPONDER_H
#define ACACIACROSS_FRONTEND_REPORTRESPONDER_H

#include "Frontend/ResponseSink.h"
#include "Traffic/ReportSink.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Answers a call with the metrics of all classes.
class ReportResponder final : public traffic::ReportSink {
public:
  using Encoder =
      std::function<HttpResponse(const std::vector<metrics::ClassReport> &)>;

  ReportResponder(Encoder Chosen, std::shared_ptr<ResponseSink> Target)
      : Encode(std::move(Chosen)), Sink(std::move(Target)) {}

  void onReports(std::vector<metrics::ClassReport> Reports) override {
    this->Sink->respond([Encode = this->Encode, Given = std::move(Reports)] {
      return Encode(Given);
    });
  }

private:
  Encoder Encode;
  std::shared_ptr<ResponseSink> Sink;
};

} // namespace acaciacross::frontend

#endif
