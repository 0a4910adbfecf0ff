#ifndef ACACIACROSS_TRAFFIC_MESSAGEQUEUE_H
#define ACACIACROSS_TRAFFIC_MESSAGEQUEUE_H

#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace acaciacross::traffic {

/// Passes messages from any thread to the one reader thread.
template <typename Message> class MessageQueue {
public:
  /// WakeReader is called on the posting thread after a message was put into an
  /// empty queue. It must be thread-safe and return at once.
  explicit MessageQueue(std::function<void()> WakeReader)
      : WakeReader(std::move(WakeReader)) {}

  void post(Message Item) {
    bool WasEmpty = false;
    {
      const std::lock_guard Guard(this->Mutex);
      WasEmpty = this->Items.empty();
      this->Items.push_back(std::move(Item));
    }
    if (WasEmpty)
      this->WakeReader();
  }

  /// Returns and removes all messages, oldest first.
  std::vector<Message> drain() {
    std::vector<Message> Drained;
    const std::lock_guard Guard(this->Mutex);
    Drained.swap(this->Items);
    return Drained;
  }

private:
  std::mutex Mutex;
  std::vector<Message> Items;
  std::function<void()> WakeReader;
};

} // namespace acaciacross::traffic

#endif
