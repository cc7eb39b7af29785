// Between the changes of any log and their Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_CHANGES_CODEC_HPP
#define RUDDERLOOM_PEERS_CHANGES_CODEC_HPP

#include "rudderloom/base/change_log.hpp"  // for Changes

namespace rudderloom {

/// @brief Writes changes; `write_entry` writes one key and value.
template <class Value, class Builder, class WriteEntry>
void WriteChanges(const Changes<Value>& changes, Builder out, WriteEntry write_entry) {
  out.setVersion(changes.version);
  out.setWhole(changes.whole);
  auto entries = out.initEntries(changes.values.size());
  for (unsigned i = 0; i < changes.values.size(); ++i) {
    write_entry(changes.values[i], entries[i]);
  }
  auto gone = out.initGone(changes.gone.size());
  for (unsigned i = 0; i < changes.gone.size(); ++i) {
    gone.set(i, changes.gone[i]);
  }
}

/// @brief Reads changes; `read_entry` gives one key and value.
template <class Value, class Reader, class ReadEntry>
Changes<Value> ReadChanges(Reader in, ReadEntry read_entry) {
  Changes<Value> changes;
  changes.version = in.getVersion();
  changes.whole = in.getWhole();
  for (const auto entry : in.getEntries()) {
    changes.values.push_back(read_entry(entry));
  }
  for (const auto key : in.getGone()) {
    changes.gone.emplace_back(key.cStr());
  }
  return changes;
}

}  // namespace rudderloom

#endif
