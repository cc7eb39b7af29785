/// @file
/// Parses JSON of which parts may be unreadable, as any client of a store may write entries.
#ifndef RUDDERLOOM_BASE_LENIENT_JSON_HPP
#define RUDDERLOOM_BASE_LENIENT_JSON_HPP

#include <boost/json.hpp>  // for value
#include <string_view>     // for string_view

namespace rudderloom {

/// @brief Parses JSON text in which null takes the place of what can't be read, so that one odd
/// entry doesn't make a list of entries unreadable.
///
/// Not readable are numbers beyond what a double holds, halves of UTF-16 pairs, values nested more
/// than 1,000 deep, and what is no JSON. Invalid UTF-8 is read as it is. Takes constant stack and
/// linear time.
/// @param error Set if the text as a whole is no JSON object or array whose ends are found.
/// @ingroup base
boost::json::value ParseLeniently(std::string_view text, boost::json::error_code& error);

}  // namespace rudderloom

#endif
