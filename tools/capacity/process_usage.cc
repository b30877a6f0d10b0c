#include "process_usage.h"

#include <malloc.h>
#include <unistd.h>

#include <ctime>
#include <fstream>

namespace umbertrail::capacity {
namespace {

constexpr int64_t kNanosPerSecond = 1000000000;

int64_t ReadClock(clockid_t clock) {
  std::timespec now{};
  clock_gettime(clock, &now);
  return now.tv_sec * kNanosPerSecond + now.tv_nsec;
}

}  // namespace

int64_t ProcessorNanos() {
  return ReadClock(CLOCK_PROCESS_CPUTIME_ID);
}

int64_t ThreadNanos() {
  return ReadClock(CLOCK_THREAD_CPUTIME_ID);
}

int64_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  int64_t total_pages = 0;
  int64_t resident_pages = 0;
  in >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

int64_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<int64_t>(info.uordblks + info.hblkhd);
}

}  // namespace umbertrail::capacity
