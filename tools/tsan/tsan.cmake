# Links what ThreadSanitizer needs to know of Abseil into every program.
add_library(umbertrail_tsan STATIC ${CMAKE_CURRENT_LIST_DIR}/absl_mutex.cc)
target_link_libraries(umbertrail_tsan PUBLIC absl::synchronization absl::time)
foreach(symbol
    _ZN4absl7debian35Mutex4LockEv
    _ZN4absl7debian35Mutex6UnlockEv
    _ZN4absl7debian35Mutex5AwaitERKNS0_9ConditionE
    _ZN4absl7debian35Mutex16AwaitWithTimeoutERKNS0_9ConditionENS0_8DurationE
    _ZN4absl7debian312Notification6NotifyEv
    _ZNK4absl7debian312Notification19WaitForNotificationEv
    _ZNK4absl7debian312Notification30WaitForNotificationWithTimeoutENS0_8DurationE)
  add_link_options(LINKER:--wrap=${symbol})
endforeach()
link_libraries(umbertrail_tsan)
