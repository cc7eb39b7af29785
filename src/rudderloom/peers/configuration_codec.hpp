// Converts configuration changes to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_CONFIGURATION_CODEC_HPP
#define RUDDERLOOM_PEERS_CONFIGURATION_CODEC_HPP

#include "fleet.capnp.h"                                   // for rpc::ConfigurationChanges
#include "rudderloom/dissemination/configuration_log.hpp"  // for ConfigurationChanges

namespace rudderloom {

void Write(const ConfigurationChanges& changes, rpc::ConfigurationChanges::Builder out);
ConfigurationChanges Read(rpc::ConfigurationChanges::Reader in);

}  // namespace rudderloom

#endif
