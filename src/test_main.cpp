// The one translation unit of a test program that carries doctest's main function.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>  // for the test runner
