#ifndef ACACIACROSS_TRAFFIC_MAILBOX_H
#define ACACIACROSS_TRAFFIC_MAILBOX_H

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace acaciacross::traffic {

/// Takes messages from any thread to the one that drains it.
template <typename Message> class Mailbox {
public:
  /// Wakeup is called after a message was put into an empty mailbox, on the
  /// thread that posts; it must be thread-safe and return at once.
  explicit Mailbox(std::function<void()> WakeReader)
      : Wakeup(std::move(WakeReader)) {}

  void post(Message Item) {
    bool WasEmpty = false;
    {
      const std::lock_guard Guard(this->Mutex);
      WasEmpty = this->Items.empty();
      this->Items.push_back(std::move(Item));
    }
    if (WasEmpty)
      this->Wakeup();
  }

  /// All messages so far, oldest first.
  std::vector<Message> drain() {
    std::vector<Message> Taken;
    const std::lock_guard Guard(this->Mutex);
    Taken.swap(this->Items);
    return Taken;
  }

private:
  std::mutex Mutex;
  std::vector<Message> Items;
  std::function<void()> Wakeup;
};

} // namespace acaciacross::traffic

#endif
