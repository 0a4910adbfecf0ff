#ifndef ACACIACROSS_NET_DESCRIPTOR_H
#define ACACIACROSS_NET_DESCRIPTOR_H

namespace acaciacross::net {

/// Owns a file descriptor; -1 is none.
class Descriptor {
public:
  Descriptor() = default;
  explicit Descriptor(int Owned) : Number(Owned) {}
  ~Descriptor() { this->reset(); }
  Descriptor(Descriptor &&Other) noexcept : Number(Other.release()) {}
  Descriptor &operator=(Descriptor &&Other) noexcept;
  Descriptor(const Descriptor &) = delete;
  Descriptor &operator=(const Descriptor &) = delete;

  int get() const { return this->Number; }
  bool isOpen() const { return this->Number >= 0; }
  int release();
  void reset();

private:
  int Number = -1;
};

} // namespace acaciacross::net

#endif
