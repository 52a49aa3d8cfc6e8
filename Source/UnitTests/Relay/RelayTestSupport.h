#pragma once

#include "Relay/Relay.h"
#include "Routing/Routing.h"

#include <algorithm>
#include <cstring>
#include <map>
#include <string>
#include <vector>

namespace pistachio {

/// Packet format of the tests: a packet is the FlowPacket structure as it lies
/// in memory.
class TestPacketFormat final : public PacketFormat {
public:
  std::optional<FlowPacket>
  decode(std::span<const std::byte> buf) const override {
    if (buf.size() != sizeof(FlowPacket))
      return std::nullopt;
    FlowPacket packet;
    std::memcpy(&packet, buf.data(), sizeof(packet));
    return packet;
  }
  void setTag(std::span<std::byte> buf, std::uint32_t tag) const override {
    edit(buf, [&](FlowPacket &it) { it.Tag = tag; });
  }
  void clearTagAndReturned(std::span<std::byte> buf) const override {
    edit(buf, [](FlowPacket &it) {
      it.Tag = 0;
      it.Returned = false;
    });
  }
  Bytes makeReset(const FlowPacket &packet) const override {
    FlowPacket reset;
    reset.Source = packet.Destination;
    reset.Destination = packet.Source;
    reset.Resets = true;
    reset.Sequence = packet.Acknowledgement;
    return encode(reset);
  }
  /// The padding of the structure is 0, so that equal packets have equal bytes.
  static Bytes encode(const FlowPacket &packet) {
    Bytes buf(sizeof(packet));
    const auto put = [&](const auto &field) {
      const auto offset = reinterpret_cast<const std::byte *>(&field) -
                          reinterpret_cast<const std::byte *>(&packet);
      std::memcpy(buf.data() + offset, &field, sizeof(field));
    };
    put(packet.Source.Address);
    put(packet.Source.Port);
    put(packet.Destination.Address);
    put(packet.Destination.Port);
    put(packet.Opens);
    put(packet.Acknowledges);
    put(packet.Ends);
    put(packet.Resets);
    put(packet.Returned);
    put(packet.Sequence);
    put(packet.Acknowledgement);
    put(packet.DataBytes);
    put(packet.Tag);
    return buf;
  }

private:
  template <typename Edit> static void edit(std::span<std::byte> buf, Edit it) {
    FlowPacket packet;
    std::memcpy(&packet, buf.data(), sizeof(packet));
    it(packet);
    std::ranges::copy(encode(packet), buf.begin());
  }
};

inline constexpr Endpoint RouteAddress{0xC6120001, 443};
inline constexpr Endpoint OtherRoute{0xC6120002, 443};

inline Endpoint callerEndpoint(std::uint16_t n) {
  return {0x64400001, static_cast<std::uint16_t>(1000 + n)};
}

inline Endpoint agentEndpoint(std::uint32_t id) {
  return {0x0A000000 + id, 7000};
}

inline FlowPacket firstPacket(std::uint16_t caller,
                              const Endpoint &route = RouteAddress,
                              std::uint32_t sequence = 0) {
  FlowPacket packet;
  packet.Source = callerEndpoint(caller);
  packet.Destination = route;
  packet.Opens = true;
  packet.Sequence = sequence;
  return packet;
}

inline FlowPacket dataPacket(std::uint16_t caller,
                             std::uint32_t acknowledgement = 0,
                             std::uint32_t sequence = 1) {
  FlowPacket packet;
  packet.Source = callerEndpoint(caller);
  packet.Destination = RouteAddress;
  packet.Acknowledges = true;
  packet.Acknowledgement = acknowledgement;
  packet.Sequence = sequence;
  packet.DataBytes = 10;
  return packet;
}

/// A table with service 1 ("a", upstreams 1 to \p n), service 2 ("b", upstream
/// 100) and one route to each service. Upstreams alternate between the data
/// centres "x" and "y".
class TestTable {
public:
  explicit TestTable(std::uint32_t n) {
    TableUpdate update;
    update.Services = {{{1}, "a", {}}, {{2}, "b", {}}};
    update.DataCentres = {{{1}, "x", false}, {{2}, "y", false}};
    for (std::uint32_t id = 1; id <= n; ++id)
      update.Upstreams.push_back(upstream(id, 1));
    update.Upstreams.push_back(upstream(100, 2));
    update.Routes = {{RouteAddress, {{{1}, 1}}, {}},
                     {OtherRoute, {{{2}, 1}}, {}}};
    apply(std::move(update));
  }

  static UpstreamRecord upstream(std::uint32_t id, std::uint32_t service) {
    return {{id},
            {service},
            {static_cast<std::uint16_t>(1 + id % 2)},
            agentEndpoint(id),
            {1},
            UpstreamState::Active};
  }

  void apply(TableUpdate update) {
    update.From = TableRevision;
    update.To = TableRevision = Revision{TableRevision.Value + 1};
    if (const auto applied = Replica.apply(update); !applied.ok() || !*applied)
      throw std::logic_error(
          "apply() returned false or an error for the update");
  }
  void setState(std::uint32_t id, UpstreamState state) {
    TableUpdate update;
    update.Upstreams = {upstream(id, id == 100 ? 2 : 1)};
    update.Upstreams[0].State = state;
    apply(std::move(update));
  }
  void setDataCentreWithdrawn(std::uint16_t dataCentre, bool withdrawn) {
    TableUpdate update;
    update.DataCentres = {
        {{dataCentre}, dataCentre == 1 ? "x" : "y", withdrawn}};
    apply(std::move(update));
  }

  const ServiceTable &operator*() const { return *Replica.table(); }

private:
  TableReplica Replica;
  Revision TableRevision;
};

} // namespace pistachio
