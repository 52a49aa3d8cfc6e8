#include "ControlLink.h"

#include "Telemetry/Telemetry.h"

#include <variant>

namespace pistachio {
namespace {

/// Minimum interval between two queries for the latest revision.
constexpr Duration TableQueryInterval{50};
/// A query without a reply for this long is repeated.
constexpr Duration TableQueryTimeout{250};

} // namespace

ControlLink::ControlLink(boost::asio::io_context &context,
                         ControlLinkOptions options, Handlers handlers)
    : Options(std::move(options)), Callbacks(std::move(handlers)) {
  TcpHandlers tcp;
  tcp.OnOpen = [this](ConnectionId) { onOpen(); };
  tcp.OnFrame = [this](ConnectionId, std::span<const std::byte> frame) {
    onFrame(frame);
  };
  tcp.OnClose = [this](ConnectionId) {
    logEvent(LogLevel::Info, "control_disconnected", "",
             {{"server", toString(Client->server())}});
    PendingRequestTimes.clear();
    IsQueryOutstanding = false;
  };
  tcp.OnConnectFailed = [](const FailedConnect &attempt) {
    logEvent(LogLevel::Info, "control_connect_failed", "",
             {{"server", toString(attempt.Server)},
              {"reason", attempt.Reason},
              {"after_ms", std::to_string(attempt.Elapsed.count())}});
  };
  Client = connectTcp(context, Options.Control, std::move(tcp));
}

void ControlLink::onOpen() {
  logEvent(LogLevel::Info, "control_connected", "",
           {{"server", toString(Client->server())},
            {"connect_ms", std::to_string(Client->connectTime().count())},
            {"revision", std::to_string(table()->revision().Value)}});
  PendingRequestTimes.clear();
  Replica.discardParts();
  Watch.onOpen(steadyNow(), Client->connectTime());
  Bytes buf;
  if (encodeNode(Subscribe{Options.Node, Options.DataCentre, Options.Address,
                           table()->revision()},
                 buf)
          .ok())
    Client->send(buf);
  requestLease(steadyNow());
}

void ControlLink::requestLease(TimePoint now) {
  if (!Client->isOpen())
    return;
  Bytes buf;
  if (!encodeNode(LeaseRequest{Options.Node, table()->revision()}, buf).ok())
    return;
  PendingRequestTimes.push_back(now);
  Client->send(buf);
}

void ControlLink::renewLease(TimePoint now) {
  if (Client->isOpen() && Watch.isOverdue(now)) {
    logEvent(LogLevel::Warning, "control_instance_left",
             "the control instance granted no lease in time; connecting to the "
             "next one",
             {{"server", toString(Client->server())},
              {"silent_ms", std::to_string(Watch.silence(now).count())},
              {"revision", std::to_string(table()->revision().Value)}});
    Client->reconnect();
    return;
  }
  requestLease(now);
}

void ControlLink::queryTable(TimePoint now) {
  const Duration pause =
      IsQueryOutstanding ? TableQueryTimeout : TableQueryInterval;
  if (!Client->isOpen() || (LastQueryAt && now - *LastQueryAt < pause))
    return;
  Bytes buf;
  if (!encodeNode(TableQuery{++LastQuery}, buf).ok())
    return;
  LastQueryAt = now;
  IsQueryOutstanding = true;
  Client->send(buf);
}

void ControlLink::onFrame(std::span<const std::byte> frame) {
  const auto message = decodeNode(frame);
  if (!message.ok()) {
    logEvent(LogLevel::Warning, "bad_control_frame",
             "a frame from control could not be decoded; connecting again",
             {{"error", message.status().ToString()}});
    return Client->reconnect();
  }
  if (const auto *update = std::get_if<TableUpdate>(&*message))
    return onUpdate(*update);
  if (const auto *instances = std::get_if<ControlInstances>(&*message))
    return Client->setAdvertisedServers(instances->Addresses);
  if (const auto *confirmed = std::get_if<TableConfirmation>(&*message)) {
    // The reply to an earlier query may still arrive after the next one.
    if (confirmed->Query != LastQuery || !IsQueryOutstanding)
      return;
    IsQueryOutstanding = false;
    if (Callbacks.OnConfirmed)
      Callbacks.OnConfirmed(*LastQueryAt, confirmed->CommittedRevision);
    return;
  }
  const auto *grant = std::get_if<LeaseGrant>(&*message);
  if (grant == nullptr || PendingRequestTimes.empty())
    return;
  const TimePoint sentAt = PendingRequestTimes.front();
  PendingRequestTimes.pop_front();
  Watch.onReply(steadyNow(), grant->ValidMs > 0);
  Callbacks.OnGrant(*grant, sentAt);
}

void ControlLink::onUpdate(const TableUpdate &update) {
  const auto changed = Replica.apply(update);
  if (!changed.ok()) {
    logEvent(
        LogLevel::Warning, "table_gap",
        "a table update does not follow the current table; subscribing again",
        {{"error", changed.status().ToString()}});
    return Client->reconnect();
  }
  Watch.onTablePart(steadyNow(), update.Part + 1 == update.Parts);
  if (!*changed)
    return;
  Callbacks.OnTable();
  // The revision in the request tells control at once that the table is in use
  // here.
  requestLease(steadyNow());
}

void ControlLink::stop() { Client->stop(); }

} // namespace pistachio
