#pragma once

#include "Wire/Wire.h"

#include <vector>

namespace pistachio {

/// Splits one change of the table into updates of at most MaxRecordsInUpdate
/// records and about 60 KB.
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

  /// The parts, numbered; at least one.
  std::vector<TableUpdate> finish();

private:
  /// Makes room for a record and returns the part that takes it.
  TableUpdate &partFor(std::size_t recordBytes);

  TableUpdate PartTemplate;
  std::vector<TableUpdate> Parts;
  std::size_t RecordsInPart = 0;
  std::size_t BytesInPart = 0;
};

} // namespace pistachio
