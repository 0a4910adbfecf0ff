#ifndef ACACIACROSS_JSON_JSONWRITER_H
#define ACACIACROSS_JSON_JSONWRITER_H

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace acaciacross::json {

/// Writes one JSON text. Each call returns the writer, so that calls can be
/// chained.
class JsonWriter {
public:
  JsonWriter();
  ~JsonWriter();

  JsonWriter &beginObject();
  JsonWriter &endObject();
  JsonWriter &beginArray();
  JsonWriter &endArray();

  JsonWriter &key(std::string_view Name);
  JsonWriter &string(std::string_view Text);
  JsonWriter &number(std::uint64_t Number);
  /// Writes null for infinities and NaN.
  JsonWriter &real(double Number);
  JsonWriter &boolean(bool Flag);

  /// The text written so far.
  std::string text() const;

private:
  struct Output;
  std::unique_ptr<Output> Out;
};

} // namespace acaciacross::json

#endif
