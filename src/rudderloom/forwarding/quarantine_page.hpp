// What operators see of requests that crash endpoints, and how they let one go.
#ifndef RUDDERLOOM_FORWARDING_QUARANTINE_PAGE_HPP
#define RUDDERLOOM_FORWARDING_QUARANTINE_PAGE_HPP

#include <optional>  // for optional

#include "rudderloom/http/server.hpp"            // for Reply
#include "rudderloom/quarantine/crash_news.hpp"  // for QuarantineList

namespace rudderloom {

// An answer to an operator, and the request that is to be let go, if any.
struct QuarantineAnswer {
  Reply reply;
  std::optional<RequestDigest> cleared;
};

// GET /quarantine lists what this node knows; DELETE /quarantine/DIGEST lets one go, at all nodes.
// Nothing when the request is for another page.
std::optional<QuarantineAnswer> AnswerQuarantinePage(const HttpRequest& request,
                                                     const QuarantineListPtr& list);

}  // namespace rudderloom

#endif
