#include "StandIns/Searcher/SearcherHandler.h"

#include "StandIns/Searcher/SearchRun.h"
#include "StandIns/Searcher/SearcherCodec.h"

namespace acaciacross::standins {

SearcherHandler::SearcherHandler(SearcherState &Searcher)
    : Searcher(Searcher) {}

HttpResponse SearcherHandler::handle(const HttpRequest &Request) {
  const PeerWait Peer(Request.Socket);
  if (Request.FirstOnConnection &&
      Peer.until(Request.ConnectionAccepted +
                 this->Searcher.settings().ConnectCost) ==
          PeerWait::Result::PeerClosed)
    return {.End = HttpResponse::Ending::CloseWithoutReply};
  HttpResponse Response = this->dispatch(Request);
  const Faults Active = this->Searcher.faults();
  if (Active.Drain || Active.DrainShed)
    Response.Headers["X-Draining"] = "1";
  return Response;
}

HttpResponse SearcherHandler::dispatch(const HttpRequest &Request) {
  const std::string Call = Request.Method + ' ' + Request.Path;
  if (Call == "GET /load")
    return this->loadPage();
  if (Call == "GET /health") {
    this->Searcher.refreshPages();
    return {.Body = SearcherCodec::encode(this->Searcher.pages().health(
                std::chrono::steady_clock::now()))};
  }
  if (Call != "POST /search")
    return {.Status = 404, .Body = "{}"};
  auto Search = SearchCall::parse(Request);
  if (!Search)
    return {.Status = 400, .Body = "{}"};
  return SearchRun(this->Searcher, std::move(*Search), PeerWait(Request.Socket),
                   Request.Body)
      .run();
}

HttpResponse SearcherHandler::loadPage() {
  LoadPage Page = this->Searcher.pages().load(std::chrono::steady_clock::now());
  const Faults Active = this->Searcher.faults();
  if (Active.LieBusy >= 0)
    Page.Busy = Active.LieBusy;
  if (Active.LieQueued >= 0)
    Page.Queued = Active.LieQueued;
  return {.Body = SearcherCodec::encode(Page)};
}

} // namespace acaciacross::standins
