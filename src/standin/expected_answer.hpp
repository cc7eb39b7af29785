/// @file
/// The deterministic answer of the engine stand-in, a pure function of model and prompt. The load
/// tool computes the same answer to verify what it receives.
#ifndef RUDDERLOOM_STANDIN_EXPECTED_ANSWER_HPP
#define RUDDERLOOM_STANDIN_EXPECTED_ANSWER_HPP

#include <cstdint>      // for int64_t
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom::standin {

/// @brief Returns token `index` (from 0) of the answer that `model` gives to `prompt`.
std::string ExpectedToken(std::string_view model, std::string_view prompt, std::int64_t index);

/// @brief Returns the first `count` tokens of that answer, concatenated.
std::string ExpectedText(std::string_view model, std::string_view prompt, std::int64_t count);

}  // namespace rudderloom::standin

#endif
