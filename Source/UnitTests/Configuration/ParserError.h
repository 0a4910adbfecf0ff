#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_PARSERERROR_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_PARSERERROR_H

#include "Configuration/ConfigurationError.h"
#include "UnitTests/Configuration/SampleDocuments.h"

#include <gtest/gtest.h>

#include <string>

namespace acaciacross::configuration {

/// Message of the error for the sample with From replaced by To; empty when the
/// text is accepted. An error with another code fails the test.
template <typename Parser>
std::string errorOfChanged(const std::string &Sample, const std::string &Source,
                           common::ResultCode Code, const std::string &From,
                           const std::string &To) {
  try {
    Parser::parse(replaced(Sample, From, To), Source);
  } catch (const ConfigurationError &Error) {
    EXPECT_EQ(Error.code(), Code);
    return Error.what();
  }
  return "";
}

} // namespace acaciacross::configuration

#endif
