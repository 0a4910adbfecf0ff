#ifndef ACACIACROSS_NODE_NODEENCODINGS_H
#define ACACIACROSS_NODE_NODEENCODINGS_H

#include "Discovery/ItemDecoder.h"
#include "Gateway/CallerProtocol.h"
#include "Gateway/PageSource.h"
#include "Gateway/SearcherProtocol.h"
#include "Node/NodeStatus.h"

#include <memory>

namespace acaciacross::node {

/// Provides the encodings of the messages that a VM exchanges with callers,
/// searchers and the store, and of its pages.
class NodeEncodings {
public:
  virtual ~NodeEncodings() = default;

  virtual const gateway::CallerProtocol &callers() const = 0;
  virtual const gateway::SearcherProtocol &searchers() const = 0;
  virtual const discovery::ItemDecoder &items() const = 0;
  virtual std::unique_ptr<gateway::PageSource>
  readinessPage(NodeStatus &View) const = 0;
  virtual std::unique_ptr<gateway::PageSource>
  directoryPage(NodeStatus &View) const = 0;
};

} // namespace acaciacross::node

#endif
