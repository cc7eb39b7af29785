#include "app/wait.hpp"

#include <thread>  // for sleep_for

namespace rudderloom {

// An io_context's timer would need descriptors, of which a stop may find none.
void BlockFor(Duration pause) {
  std::this_thread::sleep_for(pause);
}

}  // namespace rudderloom
