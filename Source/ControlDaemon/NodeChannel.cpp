#include "ControlDaemon/NodeChannel.h"

#include "Telemetry/Telemetry.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace pistachio {

absl::Status NodeChannel::listen(boost::asio::io_context &context,
                                 const Endpoint &local) {
  TcpHandlers handlers;
  handlers.OnOpen = [this](ConnectionId id) {
    Connections[id].BudgetBytes = static_cast<std::int64_t>(Options.BurstBytes);
    if (!Instances.empty())
      reply(id, ControlInstances{Instances});
  };
  handlers.OnClose = [this](ConnectionId id) { Connections.erase(id); };
  handlers.OnFrame = [this](ConnectionId id, std::span<const std::byte> frame) {
    onFrame(id, frame);
  };
  auto server = listenTcp(context, local, std::move(handlers));
  if (!server.ok())
    return server.status();
  Server = *std::move(server);
  return absl::OkStatus();
}

void NodeChannel::onFrame(ConnectionId from, std::span<const std::byte> frame) {
  const absl::StatusOr<NodeMessage> message = decodeNode(frame);
  if (!message.ok()) {
    logEvent(LogLevel::Warning, "node_message_invalid",
             message.status().ToString());
    return Server->close(from);
  }
  std::visit([&](const auto &it) { onMessage(from, it); }, *message);
}

void NodeChannel::onMessage(ConnectionId from, const Subscribe &message) {
  // An instance that is in no group has nothing to publish. Closing the
  // connection makes the node try another instance.
  if (Control.node().members().empty())
    return Server->close(from);
  Connection &connection = Connections[from];
  connection.Subscription = message;
  connection.SentRevision = message.AppliedRevision;
  connection.QueuedFrames.clear();
  Calls.subscribe(message);
  push(from, connection);
}

void NodeChannel::onMessage(ConnectionId from, const LeaseRequest &message) {
  Connection &connection = Connections[from];
  if (connection.Subscription)
    connection.Subscription->AppliedRevision = message.AppliedRevision;
  Calls.renewLease(message);
  resubscribeIfNeeded(connection);
  // The table is sent before the grant, so that the node already uses the table
  // for which the lease is granted.
  push(from, connection);
  LeaseGrant grant;
  grant.CommittedRevision = Control.state().publishedRevision();
  grant.ValidMs = static_cast<std::uint32_t>(
      Leases.validity(steadyNow(), Control.appliedIndex()).count());
  ++(grant.ValidMs > 0 ? LeasesGranted : LeasesRefused);
  reply(from, grant);
}

void NodeChannel::onMessage(ConnectionId from, const Announce &message) {
  Calls.announce(message, [this, from](const AnnounceReply &answer) {
    reply(from, answer);
  });
}

void NodeChannel::onMessage(ConnectionId from, const TableQuery &message) {
  Calls.confirmState([this, from, query = message.Query] {
    const auto it = Connections.find(from);
    if (it == Connections.end())
      return;
    // The table is sent first, so that the node mostly has it already.
    push(from, it->second);
    reply(from, TableConfirmation{query, Control.state().publishedRevision()});
  });
}

void NodeChannel::resubscribeIfNeeded(const Connection &connection) {
  if (!connection.Subscription)
    return;
  const Subscribe &wanted = *connection.Subscription;
  const auto known = Control.state().findBalancer(wanted.Node);
  const bool canRegister =
      Control.state().findDataCentre(wanted.DataCentre).has_value();
  if (canRegister && (!known || known->Address != wanted.Address))
    Calls.subscribe(wanted);
}

void NodeChannel::publish() {
  for (auto &[id, connection] : Connections)
    push(id, connection);
}

void NodeChannel::setInstances(std::vector<Endpoint> instances) {
  if (instances.size() > MaxControlInstances)
    instances.resize(MaxControlInstances);
  if (instances == Instances)
    return;
  Instances = std::move(instances);
  for (const auto &[id, connection] : Connections)
    reply(id, ControlInstances{Instances});
}

void NodeChannel::queueUpdates(Connection &connection) {
  for (TableUpdate &it :
       Control.state().updatesSince(connection.SentRevision)) {
    connection.SentRevision = it.To;
    Bytes buf;
    if (absl::Status encoded = encodeNode(std::move(it), buf); encoded.ok())
      connection.QueuedFrames.push_back(std::move(buf));
    else
      logEvent(LogLevel::Error, "table_not_encoded", encoded.ToString());
  }
}

void NodeChannel::push(ConnectionId to, Connection &connection) {
  // Changes that occur while frames are queued are merged into one update,
  // which is sent after these frames.
  if (connection.Subscription && connection.QueuedFrames.empty())
    queueUpdates(connection);
  while (!connection.QueuedFrames.empty() && connection.BudgetBytes > 0) {
    connection.BudgetBytes -=
        static_cast<std::int64_t>(connection.QueuedFrames.front().size());
    Server->send(to, connection.QueuedFrames.front());
    connection.QueuedFrames.pop_front();
  }
}

void NodeChannel::tick(TimePoint now) {
  const Duration elapsed =
      LastTick == TimePoint{} ? Duration{0} : now - LastTick;
  const auto refillBytes = static_cast<std::int64_t>(Options.BytesPerSecond) *
                           elapsed.count() / 1000;
  if (refillBytes == 0 && LastTick != TimePoint{})
    return;
  LastTick = now;
  for (auto &[id, connection] : Connections) {
    connection.BudgetBytes =
        std::min(connection.BudgetBytes + refillBytes,
                 static_cast<std::int64_t>(Options.BurstBytes));
    push(id, connection);
  }
}

void NodeChannel::reply(ConnectionId to, const NodeMessage &message) {
  Bytes buf;
  if (Server && encodeNode(message, buf).ok())
    Server->send(to, buf);
}

std::size_t NodeChannel::subscribers() const {
  return static_cast<std::size_t>(
      std::count_if(Connections.begin(), Connections.end(), [](const auto &it) {
        return it.second.Subscription.has_value();
      }));
}

std::size_t NodeChannel::queuedBytes() const {
  std::size_t n = 0;
  for (const auto &[id, connection] : Connections)
    for (const Bytes &it : connection.QueuedFrames)
      n += it.size();
  return n;
}

void NodeChannel::stop() {
  if (Server)
    Server->stop();
  Connections.clear();
}

} // namespace pistachio
