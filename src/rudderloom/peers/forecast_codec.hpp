// Converts load forecasts to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_FORECAST_CODEC_HPP
#define RUDDERLOOM_PEERS_FORECAST_CODEC_HPP

#include "fleet.capnp.h"                           // for rpc::LoadDue
#include "rudderloom/placement/load_forecast.hpp"  // for LoadsDue

namespace rudderloom {

void WriteLoadsDue(const LoadsDue& due, capnp::List<rpc::LoadDue>::Builder out);
LoadsDue ReadLoadsDue(capnp::List<rpc::LoadDue>::Reader in);

}  // namespace rudderloom

#endif
