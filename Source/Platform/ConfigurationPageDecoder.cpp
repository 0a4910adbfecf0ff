#include "Platform/ConfigurationPageDecoder.h"

#include "Platform/JsonBody.h"

namespace acaciacross::platform {

namespace {

struct ChangeJson {
  std::string Key;
  std::uint64_t Revision = 0;
  std::string Text;

  template <typename Archive> void load(Archive &Input) {
    Input(cereal::make_nvp("key", this->Key),
          cereal::make_nvp("revision", this->Revision),
          cereal::make_nvp("text", this->Text));
  }
};

struct PageJson {
  std::uint64_t Revision = 0;
  bool Complete = false;
  std::vector<ChangeJson> Changes;

  template <typename Archive> void load(Archive &Input) {
    Input(cereal::make_nvp("revision", this->Revision),
          cereal::make_nvp("complete", this->Complete),
          cereal::make_nvp("changes", this->Changes));
  }
};

} // namespace

ConfigurationPage ConfigurationPageDecoder::decode(const std::string &Body) {
  PageJson Json = decodeJson<PageJson>(Body);
  ConfigurationPage Page;
  Page.Revision = common::Revision(Json.Revision);
  Page.IsComplete = Json.Complete;
  for (ChangeJson &Change : Json.Changes) {
    // Otherwise a later call would ask for changes after a revision that does
    // not exist.
    if (Change.Revision == 0 || Change.Revision > Json.Revision)
      throw PlatformError("a change of revision " +
                          std::to_string(Change.Revision) + " on a page of " +
                          std::to_string(Json.Revision));
    Page.Changes.push_back({std::move(Change.Key),
                            common::Revision(Change.Revision),
                            std::move(Change.Text)});
  }
  return Page;
}

} // namespace acaciacross::platform
