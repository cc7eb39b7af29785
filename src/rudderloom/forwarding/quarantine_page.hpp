// Operator page that lists requests that crash endpoints and releases them from quarantine.
#ifndef RUDDERLOOM_FORWARDING_QUARANTINE_PAGE_HPP
#define RUDDERLOOM_FORWARDING_QUARANTINE_PAGE_HPP

#include <optional>  // for optional

#include "rudderloom/http/server.hpp"            // for Reply
#include "rudderloom/quarantine/crash_news.hpp"  // for QuarantineList

namespace rudderloom {

// An answer to an operator, and the request to release, if any.
struct QuarantineAnswer {
  Reply reply;
  std::optional<RequestDigest> cleared;
};

// GET /quarantine lists the requests known to this node; DELETE /quarantine/DIGEST releases one on
// all nodes. Returns empty if the request is for another page.
std::optional<QuarantineAnswer> AnswerQuarantinePage(const HttpRequest& request,
                                                     const QuarantineListPtr& list);

}  // namespace rudderloom

#endif
