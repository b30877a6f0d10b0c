// Tells ThreadSanitizer what Abseil's synchronisation orders. Debian's Abseil
// is built without the sanitizer, which therefore sees neither its locks nor
// its notifications and would report every guarded access as a race. The
// linker's
// --wrap sends the calls of our code through these functions; they are part of
// builds with -fsanitize=thread only.
//
// Conditions are evaluated inside the library by whichever thread holds the
// lock, so accesses made there are ignored.

#include <sanitizer/tsan_interface.h>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

// The linker prescribes the names.
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)

extern "C" {

void AnnotateIgnoreReadsBegin(const char* file, int line);
void AnnotateIgnoreReadsEnd(const char* file, int line);
void AnnotateIgnoreWritesBegin(const char* file, int line);
void AnnotateIgnoreWritesEnd(const char* file, int line);

void __real__ZN4absl7debian35Mutex4LockEv(void* mutex);
void __real__ZN4absl7debian35Mutex6UnlockEv(void* mutex);
void __real__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(
    void* mutex,
    const absl::Condition& condition);
bool __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    void* mutex,
    const absl::Condition& condition,
    absl::Duration timeout);
void __real__ZN4absl7debian312Notification6NotifyEv(void* notification);
void __real__ZNK4absl7debian312Notification19WaitForNotificationEv(
    const void* notification);
bool __real__ZNK4absl7debian312Notification30WaitForNotificationWithTimeoutENS0_8DurationE(
    const void* notification,
    absl::Duration timeout);

}  // extern "C"

namespace {

// Accesses of this thread are ignored while it lives.
class IgnoreAccesses {
 public:
  IgnoreAccesses() {
    AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
    AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
  }
  ~IgnoreAccesses() {
    AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
    AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
  }
  IgnoreAccesses(const IgnoreAccesses&) = delete;
  IgnoreAccesses& operator=(const IgnoreAccesses&) = delete;
};

}  // namespace

extern "C" {

void __wrap__ZN4absl7debian35Mutex4LockEv(void* mutex) {
  {
    const IgnoreAccesses ignore;
    __real__ZN4absl7debian35Mutex4LockEv(mutex);
  }
  __tsan_acquire(mutex);
}

void __wrap__ZN4absl7debian35Mutex6UnlockEv(void* mutex) {
  __tsan_release(mutex);
  const IgnoreAccesses ignore;
  __real__ZN4absl7debian35Mutex6UnlockEv(mutex);
}

void __wrap__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(
    void* mutex,
    const absl::Condition& condition) {
  __tsan_release(mutex);
  {
    const IgnoreAccesses ignore;
    __real__ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE(mutex, condition);
  }
  __tsan_acquire(mutex);
}

bool __wrap__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
    void* mutex,
    const absl::Condition& condition,
    absl::Duration timeout) {
  __tsan_release(mutex);
  bool reached = false;
  {
    const IgnoreAccesses ignore;
    reached =
        __real__ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE(
            mutex, condition, timeout);
  }
  __tsan_acquire(mutex);
  return reached;
}

void __wrap__ZN4absl7debian312Notification6NotifyEv(void* notification) {
  __tsan_release(notification);
  __real__ZN4absl7debian312Notification6NotifyEv(notification);
}

void __wrap__ZNK4absl7debian312Notification19WaitForNotificationEv(
    const void* notification) {
  __real__ZNK4absl7debian312Notification19WaitForNotificationEv(notification);
  __tsan_acquire(const_cast<void*>(notification));
}

bool __wrap__ZNK4absl7debian312Notification30WaitForNotificationWithTimeoutENS0_8DurationE(
    const void* notification,
    absl::Duration timeout) {
  const bool notified =
      __real__ZNK4absl7debian312Notification30WaitForNotificationWithTimeoutENS0_8DurationE(
          notification, timeout);
  __tsan_acquire(const_cast<void*>(notification));
  return notified;
}

}  // extern "C"

// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)
