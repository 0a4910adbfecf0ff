#ifndef ACACIACROSS_PEERING_READERROLE_H
#define ACACIACROSS_PEERING_READERROLE_H

namespace acaciacross::peering {

/// Whether this VM watches the configuration service; called on the control
/// thread, must return at once.
class ReaderRole {
public:
  virtual ~ReaderRole() = default;

  virtual void setReader(bool IsReader) = 0;
  /// One read that does not wait for changes.
  virtual void readOnce() = 0;
};

} // namespace acaciacross::peering

#endif
