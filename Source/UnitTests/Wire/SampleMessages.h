#pragma once

#include "Wire/Wire.h"

#include <vector>

namespace pistachio {

// Sample messages for the codec tests: at least one of each type, with values
// that differ from the defaults.

inline Bytes sampleBytes(std::size_t n) {
  Bytes buf(n);
  for (std::size_t i = 0; i < n; ++i)
    buf[i] = static_cast<std::byte>(i * 31 + 7);
  return buf;
}

/// A packet with a chain of maximum length and a payload of \p payloadBytes.
inline ForwardedPacket sampleForwarded(std::size_t payloadBytes) {
  ForwardedPacket packet;
  packet.Packet = {{0x0A140001, 443},
                   {0x7F000001, 5000},
                   FlowId{77},
                   PacketFlag::First,
                   {UpstreamId{3}, Incarnation{9}},
                   sampleBytes(payloadBytes)};
  packet.Service = ServiceId{4};
  packet.Bucket = 4095;
  packet.Kind = ForwardKind::Probe;
  packet.HopCount = 2;
  packet.EndsRanking = true;
  packet.OriginBalancer = {0x7F000001, 6000};
  packet.TableRevision = Revision{1234567};
  for (std::uint32_t i = 1; i <= MaxChainEntries; ++i)
    packet.Chain.push_back({UpstreamId{i},
                            Incarnation{i * 10},
                            {0x7F000001, 7000},
                            CandidateState::Suspect});
  packet.Prober = packet.Chain[0];
  packet.SenderLoad = 250;
  packet.Sender = UpstreamId{2};
  return packet;
}

inline std::vector<DataMessage> sampleDataMessages() {
  const ForwardedPacket forwarded = sampleForwarded(100);
  return {
      forwarded.Packet,
      forwarded,
      ChainExhausted{forwarded},
      ProbeMissed{forwarded},
      LoadReport{UpstreamId{5}, 999},
      CallerReply{FlowId{77},
                  CallerReplyKind::Refused,
                  {UpstreamId{3}, Incarnation{9}},
                  250,
                  sampleBytes(40)},
      PeerLeaseQuery{"balancer-1", 17, Revision{8}},
      PeerLeaseReply{"balancer-2", 17, 1500, Revision{9}},
      RelayedPacket{ServiceNameHash{77}, 3, true, 2500, sampleBytes(1231)},
      ReturnedPacket{ReturnReason::Declined, 4, 250, UpstreamLoad{2, 40, 5},
                     sampleBytes(31)},
      FlowHeld{
          {0x64400007, 40001}, {0xC6120001, 443}, 99, UpstreamLoad{1, 2, 5}},
      FlowQuery{ServiceNameHash{77},
                std::vector<FlowEndpoints>(
                    MaxFlowsInQuery, {{0x64400007, 40001}, {0xC6120001, 443}})},
      FlowsNotHeld{UpstreamLoad{1, 2, 5, 16},
                   std::vector<FlowNotHeld>(
                       MaxFlowsInQuery,
                       {{{0x64400007, 40001}, {0xC6120001, 443}}, false})},
      ChainedPacket{
          ServiceNameHash{77},
          {0x0A000009, 6000},
          std::vector<Endpoint>(MaxChainedAgents - 1, {0x0A000001, 7000}),
          sampleBytes(MaxOpaquePacketBytes)}};
}

inline std::vector<SessionMessage> sampleSessionMessages() {
  const RequestId id{1, 2};
  return {
      RequestSegment{id, "POST", "/jobs/17", false, 5000, 3000, 1000, 0xABCD,
                     sampleBytes(SegmentBytes), Incarnation{9}, 2},
      SegmentAck{id, 2000, 2},
      ResponseSegment{id, 200, 5000, 1000, 0x1234, sampleBytes(SegmentBytes)},
      ResponseAck{id, 5000, true},
      NotRun{id, RefusalReason::RecordsFull, 100, 2},
      OutcomeUnknown{id},
      CancelRequest{id, Incarnation{9}, 2},
      KeepAlive{42}};
}

inline std::vector<NodeMessage> sampleNodeMessages() {
  TableUpdate update;
  update.From = Revision{4};
  update.To = Revision{9};
  update.Services = {{ServiceId{1}, "workshop-api", {0x0A140001, 443}}};
  update.DataCentres = {{DataCentreId{1}, "ee-north-a", true}};
  update.Upstreams = {{UpstreamId{6},
                       ServiceId{1},
                       DataCentreId{1},
                       {0x7F000001, 7000},
                       Incarnation{5},
                       UpstreamState::Draining}};
  update.Balancers = {{"balancer-1", DataCentreId{1}, {0x7F000001, 6000}}};
  update.RemovedServices = {ServiceId{2}};
  update.RemovedDataCentres = {DataCentreId{3}};
  update.RemovedUpstreams = {UpstreamId{8}};
  update.RemovedBalancers = {"balancer-9"};
  update.Routes = {{{0xC6120001, 443},
                    {{ServiceId{1}, 90, 2500}, {ServiceId{2}, 10}},
                    {ServiceId{3}}}};
  update.RemovedRoutes = {{0xC6120001, 444}};
  TableUpdate withTerms = update;
  withTerms.Routes.resize(3);
  withTerms.Routes[0].Terms = {2, Duration(100), Duration(1500), false};
  withTerms.Routes[2].Terms.Urgency = 0;
  return {
      update,
      withTerms,
      Subscribe{"balancer-1", "ee-north-a", {0x7F000001, 6000}, Revision{3}},
      LeaseRequest{"balancer-1", Revision{9}},
      LeaseGrant{3000, Revision{9}},
      TableQuery{7},
      TableConfirmation{7, Revision{9}},
      Announce{"workshop-api",
               "ee-north-a",
               "zone-1",
               "machine-4",
               {0x7F000001, 7000},
               Incarnation{5},
               5,
               17,
               true,
               false},
      AnnounceReply{AnnounceResult::Rejected, UpstreamId{6}, ServiceId{1},
                    "unknown service", 3},
      ControlInstances{{{0x7F000001, 7701}, {0x7F000002, 7701}}}};
}

inline std::vector<LogCommand> sampleCommands() {
  return {
      ApplyRules{"op-1", Revision{7}, "operators", "Maarja",
                 "datacentre a # asked by Maarja\n", 1700000000000},
      UpstreamJoined{"workshop-api",
                     "ee-north-a",
                     "zone-1",
                     "machine-4",
                     {0x7F000001, 7000},
                     Incarnation{5},
                     5},
      UpstreamChanged{UpstreamId{6}, Incarnation{5}, UpstreamState::Suspect},
      UpstreamLeft{UpstreamId{6}, Incarnation{5}},
      BalancerJoined{"balancer-1", "ee-north-a", {0x7F000001, 6000}},
      BalancerLeft{"balancer-1"},
      ApplyRouting{"routing-7-1", 7, "service a slots 1 # asked by Maarja\n",
                   "{}", 1700000000000},
      SetDataCentre{"out-1", "ee-north-a", DataCentreChange::BringBack,
                    "Maarja", 1700000000000}};
}

inline std::vector<ConsensusMessage> sampleConsensusMessages() {
  AppendRequest append{MemberId{1}, 3, 10, 2, 9, 44, {}};
  append.Entries = {{3, 11, EntryKind::NoOp, {}},
                    {3, 12, EntryKind::Command, sampleBytes(64)}};
  return {VoteRequest{MemberId{1}, 3, 10, 2, true},
          VoteReply{MemberId{2}, 3, true, true},
          append,
          AppendReply{MemberId{2}, 3, 44, true, 12},
          SnapshotPart{MemberId{1}, 3, 10, 2, 64, 128, 0x55, sampleBytes(20),
                       sampleBytes(64)},
          SnapshotReply{MemberId{2}, 3, 10, 128},
          JoinRequest{MemberId{3}, {0x7F000001, 9000}, false},
          JoinReply{true, {0x7F000001, 9001}, true}};
}

inline std::vector<PeerMessage> samplePeerMessages() {
  const PeerCallId call{17};
  return {ForwardedApply{call, sampleBytes(200)},
          ForwardedApplyReply{call, CallOutcome::Answered, 2, Revision{9},
                              "rules are at revision 9", true},
          ForwardedNodeMessage{call, sampleBytes(80)},
          ForwardedNodeReply{call, CallOutcome::DiskFull, sampleBytes(30)},
          LeaderQuery{call},
          OrderPermitQuery{call},
          OrderPermitReply{call, CallOutcome::Answered, {7, 12345}},
          ForwardedOrder{call, {7, 12345}, sampleBytes(100)},
          LeaderReply{call, true, 44},
          RulesQuery{call},
          RulesReply{call, CallOutcome::Unknown, Revision{9},
                     "datacentre a # asked by Maarja\n"},
          StatusQuery{call},
          StatusReply{call,
                      CallOutcome::Answered,
                      {{"balancer-1", Revision{9}, 250}},
                      {{UpstreamId{6}, 17}}},
          RoutingQuery{call},
          RoutingReply{call, CallOutcome::Answered, {7, "{}"}}};
}

} // namespace pistachio
