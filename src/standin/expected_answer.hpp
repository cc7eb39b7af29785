// The answer that a stand-in engine gives, as a pure function, so that the load tool can check it.
#ifndef RUDDERLOOM_STANDIN_EXPECTED_ANSWER_HPP
#define RUDDERLOOM_STANDIN_EXPECTED_ANSWER_HPP

#include <cstdint>      // for int64_t
#include <string>       // for string
#include <string_view>  // for string_view

namespace rudderloom::standin {

// Token number `index` (from 0) of the answer of `model` to `prompt`.
std::string ExpectedToken(std::string_view model, std::string_view prompt, std::int64_t index);

// The first `count` tokens joined.
std::string ExpectedText(std::string_view model, std::string_view prompt, std::int64_t count);

}  // namespace rudderloom::standin

#endif
