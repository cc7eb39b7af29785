/// @file
/// A process that has no free descriptors, as after too many connections.
#ifndef RUDDERLOOM_TESTS_FAKES_NO_DESCRIPTORS_HPP
#define RUDDERLOOM_TESTS_FAKES_NO_DESCRIPTORS_HPP

#include <sys/resource.h>  // for setrlimit

namespace rudderloom::tests {

// Lets no further descriptor be opened during its lifetime.
class NoDescriptors {
 public:
  NoDescriptors() {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit none{0, before_.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &none);
  }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &before_); }

 private:
  rlimit before_{};
};

}  // namespace rudderloom::tests

#endif
