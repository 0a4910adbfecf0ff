#ifndef ACACIACROSS_NET_DESCRIPTOR_H
#define ACACIACROSS_NET_DESCRIPTOR_H

namespace acaciacross::net {

/// Owns a file descriptor, which is closed with this object; -1 means none.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Owned) : Fd(Owned) {}
  ~Descriptor() { this->reset(); }
  Descriptor(Descriptor &&Other) noexcept : Fd(Other.release()) {}
  Descriptor &operator=(Descriptor &&Other) noexcept;
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  int get() const { return this->Fd; }
  bool isOpen() const { return this->Fd >= 0; }
  /// Gives up ownership without closing; returns the descriptor.
  int release();
  /// Closes the descriptor, if there is one.
  void reset();

private:
  int Fd = -1;
};

} // namespace acaciacross::net

#endif
