#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_PARSERERROR_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_PARSERERROR_H

#include "Configuration/ConfigurationError.h"
#include "UnitTests/Configuration/SampleDocuments.h"

#include <gtest/gtest.h>

#include <string>

namespace acaciacross::configuration {

/// Error message for the sample with From replaced by To; empty if the text is
/// accepted. The test fails if the error has a code other than Code.
template <typename Parser>
std::string
parseErrorAfterReplacing(const std::string &Sample, const std::string &Source,
                         common::ResultCode Code, const std::string &From,
                         const std::string &To) {
  try {
    Parser::parse(replaceFirst(Sample, From, To), Source);
  } catch (const ConfigurationError &Error) {
    EXPECT_EQ(Error.code(), Code);
    return Error.what();
  }
  return "";
}

} // namespace acaciacross::configuration

#endif
