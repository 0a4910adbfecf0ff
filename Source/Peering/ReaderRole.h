#ifndef ACACIACROSS_PEERING_READERROLE_H
#define ACACIACROSS_PEERING_READERROLE_H

namespace acaciacross::peering {

/// Controls whether this VM watches the configuration service. Called on the
/// control thread; calls must return without waiting.
class ReaderRole {
public:
  virtual ~ReaderRole() = default;

  virtual void setReader(bool IsReader) = 0;
  /// Starts one read that does not wait for changes.
  virtual void readOnce() = 0;
};

} // namespace acaciacross::peering

#endif
