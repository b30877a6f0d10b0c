#ifndef UMBERTRAIL_TOOLS_CAPACITY_PROCESS_USAGE_H_
#define UMBERTRAIL_TOOLS_CAPACITY_PROCESS_USAGE_H_

#include <cstdint>

namespace umbertrail::capacity {

// Processor time of this process so far, in nanoseconds, user and system.
int64_t ProcessorNanos();

// Processor time of the calling thread so far, in nanoseconds.
int64_t ThreadNanos();

// Memory of this process that is resident now, in bytes.
int64_t ResidentBytes();

// Bytes in use on the heap, without what the allocator keeps for later.
int64_t HeapBytes();

}  // namespace umbertrail::capacity

#endif  // UMBERTRAIL_TOOLS_CAPACITY_PROCESS_USAGE_H_
