#ifndef ACACIACROSS_CONFIGURATION_CLASSDOCUMENT_H
#define ACACIACROSS_CONFIGURATION_CLASSDOCUMENT_H

#include "Configuration/ClassDefinition.h"
#include "Configuration/DeploymentBudget.h"

#include <vector>

namespace acaciacross::configuration {

/// Parsed document of the key "classes".
struct ClassDocument {
  DeploymentBudget Budget;
  std::vector<ClassDefinition> Classes;
};

} // namespace acaciacross::configuration

#endif
