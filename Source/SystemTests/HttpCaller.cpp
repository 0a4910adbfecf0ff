#include "SystemTests/HttpCaller.h"

#include <curl/curl.h>

namespace acaciacross::systemtests {

namespace {

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *Text) {
  static_cast<std::string *>(Text)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

HttpReply HttpCaller::call(const std::string &Method, const std::string &Target,
                           const std::string &Body,
                           std::chrono::milliseconds Timeout) {
  HttpReply Reply;
  const std::string Url = "http://" + Target;
  CURL *Handle = curl_easy_init();
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Handle, CURLOPT_PROXY, "");
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Timeout.count()));
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Reply.Body);
  if (Method != "GET") {
    curl_easy_setopt(Handle, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Body.size()));
    curl_easy_setopt(Handle, CURLOPT_COPYPOSTFIELDS, Body.c_str());
    curl_easy_setopt(Handle, CURLOPT_CUSTOMREQUEST, Method.c_str());
  }
  const CURLcode Result = curl_easy_perform(Handle);
  if (Result == CURLE_OK)
    curl_easy_getinfo(Handle, CURLINFO_RESPONSE_CODE, &Reply.Status);
  else
    Reply.Error = Target + ": " + curl_easy_strerror(Result);
  curl_easy_cleanup(Handle);
  return Reply;
}

} // namespace acaciacross::systemtests
