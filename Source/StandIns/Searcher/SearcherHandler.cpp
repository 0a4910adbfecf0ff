#include "StandIns/Searcher/SearcherHandler.h"

#include "StandIns/Searcher/SearchRun.h"
#include "StandIns/Searcher/SearcherCodec.h"

namespace acaciacross::standins {

SearcherHandler::SearcherHandler(SearcherState &Searcher)
    : Searcher(Searcher) {}

HttpResponse SearcherHandler::handle(const HttpRequest &Request) {
  const ConnectionWait Wait(Request.Socket);
  if (Request.IsFirstOnConnection &&
      Wait.until(Request.ConnectionAcceptedAt +
                 this->Searcher.settings().ConnectCost) ==
          ConnectionWait::Result::ConnectionClosed)
    return {.Delivery = HttpResponse::DeliveryMode::CloseWithoutReply};
  HttpResponse Response = this->dispatch(Request);
  const Faults Active = this->Searcher.faults();
  if (Active.IsDraining || Active.IsDrainingAndShedding)
    Response.Headers["X-Draining"] = "1";
  return Response;
}

HttpResponse SearcherHandler::dispatch(const HttpRequest &Request) {
  const std::string Route = Request.Method + ' ' + Request.Path;
  if (Route == "GET /load")
    return this->loadPage();
  if (Route == "GET /health") {
    this->Searcher.refreshPages();
    return {.Body = SearcherCodec::encode(this->Searcher.pages().health(
                std::chrono::steady_clock::now()))};
  }
  if (Route != "POST /search")
    return {.Status = 404, .Body = "{}"};
  auto Search = SearchRequest::parse(Request);
  if (!Search)
    return {.Status = 400, .Body = "{}"};
  return SearchRun(this->Searcher, std::move(*Search),
                   ConnectionWait(Request.Socket), Request.Body)
      .run();
}

HttpResponse SearcherHandler::loadPage() {
  LoadPage Page = this->Searcher.pages().load(std::chrono::steady_clock::now());
  const Faults Active = this->Searcher.faults();
  if (Active.ReportedBusy >= 0)
    Page.Busy = Active.ReportedBusy;
  if (Active.ReportedQueued >= 0)
    Page.Queued = Active.ReportedQueued;
  return {.Body = SearcherCodec::encode(Page)};
}

} // namespace acaciacross::standins
