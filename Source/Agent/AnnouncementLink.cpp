#include "AnnouncementLink.h"

#include "Telemetry/Telemetry.h"

#include <variant>

namespace pistachio {
namespace {

/// If a control instance does not reply for this long, the link connects to the
/// next one.
constexpr Duration ControlReplyTimeout{2500};

} // namespace

AnnouncementLink::AnnouncementLink(boost::asio::io_context &context,
                                   std::vector<Endpoint> control,
                                   Handlers handlers)
    : Callbacks(std::move(handlers)), LastReplyAt(steadyNow()) {
  TcpHandlers tcp;
  tcp.OnOpen = [this](ConnectionId) { Callbacks.OnOpen(); };
  tcp.OnFrame = [this](ConnectionId, std::span<const std::byte> frame) {
    onFrame(frame);
  };
  tcp.OnClose = [](ConnectionId) {};
  Client = connectTcp(context, std::move(control), std::move(tcp));
}

void AnnouncementLink::send(const Announce &message, TimePoint now) {
  Bytes buf;
  if (const absl::Status encoded = encodeNode(message, buf); !encoded.ok())
    logEvent(LogLevel::Error, "encode_failed",
             "the announcement exceeds its size limits and is not sent",
             {{"error", encoded.ToString()}});
  else
    Client->send(buf);
  if (now - LastReplyAt <= ControlReplyTimeout)
    return;
  LastReplyAt = now;
  logEvent(LogLevel::Warning, "control_lost",
           "the control instance does not answer within the timeout; "
           "connecting to the next one");
  Client->reconnect();
}

void AnnouncementLink::onFrame(std::span<const std::byte> frame) {
  const auto message = decodeNode(frame);
  if (message.ok() && std::holds_alternative<ControlInstances>(*message))
    return Client->setAdvertisedServers(
        std::get<ControlInstances>(*message).Addresses);
  const auto *reply =
      message.ok() ? std::get_if<AnnounceReply>(&*message) : nullptr;
  if (reply == nullptr) {
    ++InvalidFrames;
    logEvent(LogLevel::Warning, "control_message_invalid",
             message.ok() ? "unexpected kind of message; ignoring it"
                          : message.status().ToString());
    return;
  }
  logResultChange(*reply);
  if (reply->Result == AnnounceResult::Unavailable) {
    Client->reconnect();
    return;
  }
  LastReplyAt = steadyNow();
  Callbacks.OnReply(*reply);
}

void AnnouncementLink::logResultChange(const AnnounceReply &reply) {
  if (LastResult == reply.Result)
    return;
  LastResult = reply.Result;
  const bool isProblem = reply.Result == AnnounceResult::Rejected ||
                         reply.Result == AnnounceResult::Unavailable;
  logEvent(isProblem ? LogLevel::Warning : LogLevel::Info, "announce_result",
           "control reported a new state for this upstream; if it is "
           "unavailable, the agent connects to the next control instance",
           {{"result", std::string(nameOf(reply.Result))},
            {"upstream", std::to_string(reply.Upstream.Value)},
            {"reason", reply.Reason}});
}

} // namespace pistachio
