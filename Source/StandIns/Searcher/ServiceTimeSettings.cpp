#include "StandIns/Searcher/ServiceTimeSettings.h"

#include "Common/Error.h"
#include "StandIns/Searcher/ExponentialServiceTime.h"
#include "StandIns/Searcher/FixedServiceTime.h"
#include "StandIns/Searcher/LogNormalServiceTime.h"
#include "StandIns/Searcher/OutlierServiceTime.h"

namespace acaciacross::standins {

namespace {

std::unique_ptr<ServiceTime> makeBase(const ServiceTimeSettings &Settings) {
  if (Settings.Kind == "fixed")
    return std::make_unique<FixedServiceTime>(Settings.Median);
  if (Settings.Kind == "exponential")
    return std::make_unique<ExponentialServiceTime>(Settings.Median,
                                                    Settings.Seed);
  if (Settings.Kind == "lognormal")
    return std::make_unique<LogNormalServiceTime>(
        Settings.Median, Settings.Sigma, Settings.Seed);
  throw common::Error(common::ResultCode::SettingInvalid,
                      "service_time.kind = " + Settings.Kind +
                          ": fixed, exponential or lognormal is allowed");
}

} // namespace

std::unique_ptr<ServiceTime> ServiceTimeSettings::make() const {
  std::unique_ptr<ServiceTime> Base = makeBase(*this);
  if (this->SlowOneIn == 0)
    return Base;
  return std::make_unique<OutlierServiceTime>(std::move(Base), this->SlowOneIn,
                                              this->SlowFactor, this->Seed + 1);
}

} // namespace acaciacross::standins
