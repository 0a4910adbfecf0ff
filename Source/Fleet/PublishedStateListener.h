#ifndef ACACIACROSS_FLEET_PUBLISHEDSTATELISTENER_H
#define ACACIACROSS_FLEET_PUBLISHEDSTATELISTENER_H

namespace acaciacross::fleet {

/// Is told when peers have changed the published state.
class PublishedStateListener {
public:
  virtual ~PublishedStateListener() = default;

  virtual void onPublishedStateChanged() = 0;
};

} // namespace acaciacross::fleet

#endif
