#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_EXITSTATUS_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_EXITSTATUS_H

namespace acaciacross::operatorcli {

/// Exit statuses of acaciacross-ctl; --help lists them.
enum class ExitStatus : int {
  Ok = 0,
  Usage = 2,
  DocumentInvalid = 3,
  FileUnreadable = 4,
  VmUnreachable = 5,
  RequestUnknown = 6,
};

} // namespace acaciacross::operatorcli

#endif
