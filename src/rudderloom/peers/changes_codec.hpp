// Converts the changes of a change log to and from Cap'n Proto messages.
#ifndef RUDDERLOOM_PEERS_CHANGES_CODEC_HPP
#define RUDDERLOOM_PEERS_CHANGES_CODEC_HPP

#include <cstdint>  // for int64_t

#include "rudderloom/base/change_log.hpp"      // for Changes
#include "rudderloom/base/store_revision.hpp"  // for StoreRevision

namespace rudderloom {

/// @brief Builds a revision. Nodes without support for eras send a negative era.
inline StoreRevision ReadRevision(std::uint64_t number, std::int64_t era) {
  return {era < 0 ? 0 : static_cast<std::uint64_t>(era), number};
}

template <class Builder>
void WriteVersion(std::uint64_t version, Builder out) {
  out.setVersion(version);
}

template <class Builder>
void WriteVersion(const StoreRevision& version, Builder out) {
  out.setVersion(version.Number());
  out.setEra(static_cast<std::int64_t>(version.Era()));
}

template <class Reader>
void ReadVersion(Reader in, std::uint64_t& version) {
  version = in.getVersion();
}

template <class Reader>
void ReadVersion(Reader in, StoreRevision& version) {
  version = ReadRevision(in.getVersion(), in.getEra());
}

/// @brief Writes changes. `write_entry` writes a pair of key and value.
template <class Value, class Version, class Builder, class WriteEntry>
void WriteChanges(const Changes<Value, Version>& changes, Builder out, WriteEntry write_entry) {
  WriteVersion(changes.version, out);
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

/// @brief Reads changes. `read_entry` returns a pair of key and value.
template <class Value, class Version = std::uint64_t, class Reader, class ReadEntry>
Changes<Value, Version> ReadChanges(Reader in, ReadEntry read_entry) {
  Changes<Value, Version> changes;
  ReadVersion(in, changes.version);
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
