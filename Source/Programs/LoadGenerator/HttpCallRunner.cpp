#include "Programs/LoadGenerator/HttpCallRunner.h"

#include <curl/curl.h>

namespace acaciacross::loadgenerator {

HttpCallRunner::HttpCallRunner() : Multi(curl_multi_init()) {}

HttpCallRunner::~HttpCallRunner() {
  for (auto &[Easy, Active] : this->ActiveCalls) {
    curl_multi_remove_handle(this->Multi, Easy);
    curl_easy_cleanup(Easy);
  }
  curl_multi_cleanup(this->Multi);
}

void HttpCallRunner::start(HttpCall Call) {
  CURL *Easy = curl_easy_init();
  auto Started = std::make_unique<ActiveCall>();
  Started->Url = "http://" + Call.Target.toString() + Call.Path;
  Started->Call = std::move(Call);
  curl_easy_setopt(Easy, CURLOPT_URL, Started->Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Started->Call.Timeout.count()));
  curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &Started->Reply);
  if (!Started->Call.Body.empty()) {
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Started->Call.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Started->Call.Body.c_str());
  }
  this->ActiveCalls.emplace(Easy, std::move(Started));
  curl_multi_add_handle(this->Multi, Easy);
}

void HttpCallRunner::run(std::chrono::milliseconds Timeout) {
  int Count = 0;
  curl_multi_perform(this->Multi, &Count);
  curl_multi_poll(this->Multi, nullptr, 0, static_cast<int>(Timeout.count()),
                  nullptr);
  curl_multi_perform(this->Multi, &Count);
  while (const CURLMsg *Message = curl_multi_info_read(this->Multi, &Count))
    if (Message->msg == CURLMSG_DONE)
      this->finish(Message->easy_handle, Message->data.result == CURLE_OK);
}

std::size_t HttpCallRunner::inFlightCount() const {
  return this->ActiveCalls.size();
}

std::size_t HttpCallRunner::append(char *Data, std::size_t Size,
                                   std::size_t Count, void *Reply) {
  static_cast<std::string *>(Reply)->append(Data, Size * Count);
  return Size * Count;
}

void HttpCallRunner::finish(void *Easy, bool IsComplete) {
  long Status = 0;
  curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
  const auto Entry = this->ActiveCalls.extract(Easy);
  curl_multi_remove_handle(this->Multi, Easy);
  curl_easy_cleanup(Easy);
  // The call is removed before its completion, which may start further calls.
  const ActiveCall &Finished = *Entry.mapped();
  Finished.Call.OnCompleted(IsComplete ? Status : 0, Finished.Reply);
}

} // namespace acaciacross::loadgenerator
