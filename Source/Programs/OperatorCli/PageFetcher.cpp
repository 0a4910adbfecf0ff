#include "Programs/OperatorCli/PageFetcher.h"

#include <curl/curl.h>

#include <memory>

namespace acaciacross::operatorcli {

namespace {

std::size_t append(char *Data, std::size_t Size, std::size_t Count,
                   void *Page) {
  static_cast<std::string *>(Page)->append(Data, Size * Count);
  return Size * Count;
}

} // namespace

std::optional<std::string> PageFetcher::get(const common::Address &Vm,
                                            const std::string &Path,
                                            std::chrono::milliseconds Timeout) {
  const std::unique_ptr<CURL, void (*)(CURL *)> Easy(curl_easy_init(),
                                                     curl_easy_cleanup);
  const std::string Url = "http://" + Vm.toString() + Path;
  std::string Page;
  curl_easy_setopt(Easy.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(Easy.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Timeout.count()));
  curl_easy_setopt(Easy.get(), CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt(Easy.get(), CURLOPT_WRITEDATA, &Page);
  if (curl_easy_perform(Easy.get()) != CURLE_OK)
    return std::nullopt;
  long Status = 0;
  curl_easy_getinfo(Easy.get(), CURLINFO_RESPONSE_CODE, &Status);
  if (Status != 200)
    return std::nullopt;
  return Page;
}

} // namespace acaciacross::operatorcli
