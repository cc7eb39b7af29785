// Memory of a process and of its TCP sockets, as the system counts it.
#ifndef RUDDERLOOM_TESTS_PROCESS_PROCESS_MEMORY_HPP
#define RUDDERLOOM_TESTS_PROCESS_PROCESS_MEMORY_HPP

#include <cstdint>  // for int64_t

namespace rudderloom::tests {

/// @brief What a process takes, in KB.
struct ProcessMemory {
  std::int64_t resident = 0;
  std::int64_t received = 0;  ///< In the receive buffers of its sockets, with their bookkeeping.
  std::int64_t sending = 0;   ///< In the send buffers, likewise.
  std::int64_t Total() const { return resident + received + sending; }
};

ProcessMemory MemoryOf(int process);

}  // namespace rudderloom::tests

#endif
