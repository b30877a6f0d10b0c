#include "child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

#include "absl/time/clock.h"

namespace umbertrail::soak {
namespace {

constexpr absl::Duration kPause = absl::Milliseconds(5);

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& words,
                           const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (const std::string& it : words) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  ::close(out);
}

ChildProcess::~ChildProcess() {
  if (pid_ > 0) {
    Signal(SIGKILL);
    static_cast<void>(::waitpid(pid_, nullptr, 0));
  }
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) {
    ::kill(pid_, signal);
  }
}

bool ChildProcess::IsRunning() const {
  siginfo_t info{};
  return pid_ > 0 &&
         ::waitid(P_PID, static_cast<id_t>(pid_), &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

int ChildProcess::Await(absl::Duration limit) {
  const absl::Time until = absl::Now() + limit;
  int status = 0;
  while (::waitpid(pid_, &status, WNOHANG) == 0) {
    if (absl::Now() > until) {
      return -1;
    }
    absl::SleepFor(kPause);
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace umbertrail::soak
