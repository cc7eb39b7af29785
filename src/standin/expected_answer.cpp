#include "standin/expected_answer.hpp"

#include <boost/container_hash/hash.hpp>  // for hash_combine

namespace rudderloom::standin {

std::string ExpectedToken(std::string_view model, std::string_view prompt, std::int64_t index) {
  std::size_t seed = 0;
  boost::hash_combine(seed, std::string(model));
  boost::hash_combine(seed, std::string(prompt));
  boost::hash_combine(seed, index);
  constexpr std::size_t kVocabularySize = 50'000;
  return "t" + std::to_string(seed % kVocabularySize) + " ";
}

std::string ExpectedText(std::string_view model, std::string_view prompt, std::int64_t count) {
  std::string text;
  for (std::int64_t i = 0; i < count; ++i) {
    text += ExpectedToken(model, prompt, i);
  }
  return text;
}

}  // namespace rudderloom::standin
