// Records the cells of the fault matrix that tests have proved; tools/fault_matrix.py reads them.
#ifndef RUDDERLOOM_TESTS_FAKES_CELLS_HPP
#define RUDDERLOOM_TESTS_FAKES_CELLS_HPP

#include <doctest/doctest.h>  // for the name of the running test

#include <cstdlib>  // for getenv
#include <fstream>  // for ofstream
#include <string>   // for string

namespace rudderloom::fakes {

/// @brief Records a cell; call it after the checks of the cell. `fault` may be a pair, written
/// `one + other`.
inline void ProvedCell(const std::string& step, const std::string& fault, const std::string& test) {
  const char* file = std::getenv("RUDDERLOOM_CELLS");
  if (file != nullptr) {
    std::ofstream(file, std::ios::app) << step << '\t' << fault << '\t' << test << '\n';
  }
}

}  // namespace rudderloom::fakes

#endif
