# Flags that every target of the project shares.
add_library(rudderloom_flags INTERFACE)
target_include_directories(rudderloom_flags INTERFACE "${CMAKE_SOURCE_DIR}/include")
# GCC 12 takes the frames of Asio's coroutines for mismatched allocations.
target_compile_options(rudderloom_flags INTERFACE
  -Wall -Wextra -Wpedantic -Wno-mismatched-new-delete)
# CI builds with the tests and takes warnings for errors. A deployment's build, with another level of
# optimization, must not fail over what GCC 12 wrongly warns of there.
if(RUDDERLOOM_BUILD_TESTS)
  target_compile_options(rudderloom_flags INTERFACE -Werror)
endif()
target_compile_definitions(rudderloom_flags INTERFACE
  BOOST_ASIO_NO_DEPRECATED RUDDERLOOM_VERSION="${PROJECT_VERSION}")
if(RUDDERLOOM_SANITIZE)
  # Sanitizers change what GCC 12 sees, and it takes coroutine frames and generated code for faulty;
  # the plain build keeps all warnings as errors.
  target_compile_options(rudderloom_flags INTERFACE
    "-fsanitize=${RUDDERLOOM_SANITIZE}" -fno-omit-frame-pointer -fno-sanitize-recover=all
    -Wno-error)
  target_link_options(rudderloom_flags INTERFACE "-fsanitize=${RUDDERLOOM_SANITIZE}")
endif()
target_link_libraries(rudderloom_flags INTERFACE Threads::Threads)

# rudderloom_module(NAME SOURCES a.cpp b.cpp LINK other)
# Declares one small static library for one module.
function(rudderloom_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(rudderloom_${NAME} STATIC ${ARG_SOURCES})
  target_link_libraries(rudderloom_${NAME} PUBLIC rudderloom_flags ${ARG_LINK})
endfunction()

# rudderloom_http_target(TARGET)
# Lets a target that includes Boost.Beast share one precompiled header.
function(rudderloom_http_target TARGET)
  if(NOT TARGET ${TARGET})
    return()  # a test, in a build without tests
  endif()
  if(TARGET rudderloom_http AND NOT "${TARGET}" STREQUAL "rudderloom_http")
    target_precompile_headers(${TARGET} REUSE_FROM rudderloom_http)
  else()
    target_precompile_headers(${TARGET} PRIVATE
      "${CMAKE_SOURCE_DIR}/include/rudderloom/http/asio.hpp" <boost/json.hpp>
      <chrono> <map> <memory> <optional> <string> <variant> <vector>)
  endif()
endfunction()

# rudderloom_test(NAME SOURCES a_test.cpp LINK modules [CASES filters])
# Declares one test program and registers it with CTest; with CASES, as one test for each filter
# of doctest's, so that long ones run side by side.
function(rudderloom_test NAME)
  if(NOT RUDDERLOOM_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;CASES" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES} "${CMAKE_SOURCE_DIR}/src/test_main.cpp")
  target_include_directories(${NAME} PRIVATE "${CMAKE_SOURCE_DIR}/tests")
  target_link_libraries(${NAME} PRIVATE rudderloom_flags ${ARG_LINK})
  if(NOT ARG_CASES)
    add_test(NAME ${NAME} COMMAND ${NAME})
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 1200)
  endif()
  set(NUMBER 0)
  foreach(CASE ${ARG_CASES})
    math(EXPR NUMBER "${NUMBER} + 1")
    add_test(NAME ${NAME}_${NUMBER} COMMAND ${NAME} "--test-case=${CASE}")
    set_tests_properties(${NAME}_${NUMBER} PROPERTIES TIMEOUT 1200)
  endforeach()
endfunction()
