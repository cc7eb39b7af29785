# Libraries from Debian's packages that the modules link against.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json filesystem)
find_library(CAF_LIBRARY caf_core REQUIRED)
find_library(GLOG_LIBRARY glog REQUIRED)
find_library(SODIUM_LIBRARY sodium REQUIRED)

# Debian's CapnProtoConfig.cmake looks for a libatomic that GCC keeps to itself, so the libraries
# are named here. The generator is not needed: its output is committed.
set(CAPNP_LIBRARIES)
foreach(NAME capnp-rpc capnp kj-async kj)
  find_library(LIBRARY_${NAME} ${NAME} REQUIRED)
  list(APPEND CAPNP_LIBRARIES "${LIBRARY_${NAME}}")
endforeach()
