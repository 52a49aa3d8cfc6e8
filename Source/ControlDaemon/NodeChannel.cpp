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
    Connections[id].Budget = static_cast<std::int64_t>(Options.BurstBytes);
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
  // An instance that is in no group yet has nothing to publish; the node goes
  // on to the next one.
  if (Control.node().members().empty())
    return Server->close(from);
  Connection &connection = Connections[from];
  connection.Subscription = message;
  connection.Sent = message.AppliedRevision;
  connection.Parts.clear();
  Calls.subscribe(message);
  push(from, connection);
}

void NodeChannel::onMessage(ConnectionId from, const LeaseRequest &message) {
  Connection &connection = Connections[from];
  if (connection.Subscription)
    connection.Subscription->AppliedRevision = message.AppliedRevision;
  Calls.renewLease(message);
  subscribeAgain(connection);
  // The table goes first, so that a node that gets the grant has it in force.
  push(from, connection);
  LeaseGrant grant;
  grant.CommittedRevision = Control.state().published();
  grant.ValidMs = static_cast<std::uint32_t>(
      Leases.validity(steadyNow(), Control.appliedIndex()).count());
  ++(grant.ValidMs > 0 ? Granted : Refused);
  reply(from, grant);
}

void NodeChannel::onMessage(ConnectionId from, const Announce &message) {
  Calls.announce(message, [this, from](const AnnounceReply &answer) {
    reply(from, answer);
  });
}

void NodeChannel::subscribeAgain(const Connection &connection) {
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
  for (TableUpdate &it : Control.state().updatesSince(connection.Sent)) {
    connection.Sent = it.To;
    Bytes buf;
    if (absl::Status encoded = encodeNode(std::move(it), buf); encoded.ok())
      connection.Parts.push_back(std::move(buf));
    else
      logEvent(LogLevel::Error, "table_not_encoded", encoded.ToString());
  }
}

void NodeChannel::push(ConnectionId to, Connection &connection) {
  // Changes that come while parts wait are sent together afterwards.
  if (connection.Subscription && connection.Parts.empty())
    queueUpdates(connection);
  while (!connection.Parts.empty() && connection.Budget > 0) {
    connection.Budget -=
        static_cast<std::int64_t>(connection.Parts.front().size());
    Server->send(to, connection.Parts.front());
    connection.Parts.pop_front();
  }
}

void NodeChannel::tick(TimePoint now) {
  const Duration passed =
      LastTick == TimePoint{} ? Duration{0} : now - LastTick;
  const auto earned =
      static_cast<std::int64_t>(Options.BytesPerSecond) * passed.count() / 1000;
  if (earned == 0 && LastTick != TimePoint{})
    return;
  LastTick = now;
  for (auto &[id, connection] : Connections) {
    connection.Budget = std::min(connection.Budget + earned,
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

void NodeChannel::stop() {
  if (Server)
    Server->stop();
  Connections.clear();
}

} // namespace pistachio
