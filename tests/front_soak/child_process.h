#ifndef UMBERTRAIL_TESTS_FRONT_SOAK_CHILD_PROCESS_H_
#define UMBERTRAIL_TESTS_FRONT_SOAK_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "absl/time/time.h"

namespace umbertrail::soak {

// A program that this one started; it is killed with this object.
class ChildProcess {
 public:
  // `words` are the program and its arguments; what it writes is appended to
  // the file `log`.
  ChildProcess(const std::vector<std::string>& words, const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  pid_t pid() const { return pid_; }
  // False once the program has ended.
  bool IsRunning() const;
  // Waits for its end. Its exit status; -1 when it was killed, or had not ended
  // within `limit`.
  int Await(absl::Duration limit);

 private:
  pid_t pid_ = -1;
};

}  // namespace umbertrail::soak

#endif  // UMBERTRAIL_TESTS_FRONT_SOAK_CHILD_PROCESS_H_
