#pragma once

#include "Wire/Wire.h"

#include <vector>

namespace pistachio {

/// Splits a table update into parts of at most MaxRecordsInUpdate records and
/// about 60 KB each.
class TablePartWriter {
public:
  TablePartWriter(Revision from, Revision to, bool reset);

  void add(const ServiceRecord &record);
  void add(const DataCentreRecord &record);
  void add(const UpstreamRecord &record);
  void add(const BalancerRecord &record);
  void add(const RouteRecord &record);
  void remove(ServiceId id);
  void remove(DataCentreId id);
  void remove(UpstreamId id);
  void remove(const std::string &balancer);
  void remove(const Endpoint &route);

  /// Numbers the parts and returns them. There is always at least one part.
  std::vector<TableUpdate> finish();

private:
  /// Returns the part to which a record of \p recordBytes is added, and starts
  /// a new part if the current one is full.
  TableUpdate &partFor(std::size_t recordBytes);

  /// The fields that all parts have in common.
  TableUpdate PartTemplate;
  std::vector<TableUpdate> Parts;
  std::size_t RecordsInPart = 0;
  std::size_t BytesInPart = 0;
};

} // namespace pistachio
