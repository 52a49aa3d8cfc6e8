#include "Runtime/AsioEndpoint.h"
#include "Runtime/Runtime.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <utility>

namespace pistachio {
namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned HttpVersion = 11;
constexpr std::size_t MaxResponseBytes = 16 * 1024 * 1024;

/// One request on a connection of its own. Connections are not reused: if the
/// back end closed an idle connection while a request is being sent on it, it
/// would be unknown whether the request was received.
class PendingCall : public std::enable_shared_from_this<PendingCall> {
public:
  using DoneHandler = std::function<void(absl::StatusOr<BackEndResponse>)>;

  PendingCall(boost::asio::io_context &context, const BackEndRequest &request,
              const Endpoint &backEnd, DoneHandler done)
      : Stream(context), BackEnd(backEnd), OnDone(std::move(done)) {
    Request.version(HttpVersion);
    Request.method_string(request.Method);
    Request.target(request.Path);
    Request.set(http::field::host, toString(backEnd));
    Request.set(http::field::connection, "close");
    if (!request.IdempotencyKey.empty())
      Request.set("Idempotency-Key", request.IdempotencyKey);
    if (request.Deadline > Duration::zero()) {
      Request.set("X-Request-Deadline-Ms",
                  std::to_string(request.Deadline.count()));
      Stream.expires_after(request.Deadline);
    }
    Request.body().assign(reinterpret_cast<const char *>(request.Body.data()),
                          request.Body.size());
    Request.prepare_payload();
    Parser.body_limit(MaxResponseBytes);
  }

  void start() {
    Stream.async_connect(
        toAsio<tcp>(BackEnd), [self = shared_from_this()](error_code ec) {
          if (ec)
            return self->complete(absl::UnavailableError(absl::StrCat(
                "cannot connect to the back end: ", ec.message())));
          self->write();
        });
  }

  void cancel() {
    OnDone = nullptr;
    Stream.close();
  }

private:
  void write() {
    http::async_write(
        Stream, Request,
        [self = shared_from_this()](error_code ec, std::size_t /*n*/) {
          if (ec)
            return self->complete(absl::UnknownError(absl::StrCat(
                "cannot send the request to the back end: ", ec.message())));
          self->read();
        });
  }

  void read() {
    http::async_read(
        Stream, Buffer, Parser,
        [self = shared_from_this()](error_code ec, std::size_t /*n*/) {
          if (ec)
            return self->complete(absl::UnknownError(
                absl::StrCat("no answer from the back end: ", ec.message())));
          self->complete(self->takeResponse());
        });
  }

  BackEndResponse takeResponse() {
    const auto &message = Parser.get();
    BackEndResponse response;
    response.Status = static_cast<int>(message.result_int());
    const auto *begin =
        reinterpret_cast<const std::byte *>(message.body().data());
    response.Body.assign(begin, begin + message.body().size());
    std::uint32_t seconds = 0;
    const auto field = message[http::field::retry_after];
    if (absl::SimpleAtoi(absl::string_view(field.data(), field.size()),
                         &seconds))
      response.RetryAfter = std::chrono::seconds(seconds);
    return response;
  }

  void complete(absl::StatusOr<BackEndResponse> result) {
    Stream.close();
    if (OnDone)
      std::exchange(OnDone, nullptr)(std::move(result));
  }

  beast::tcp_stream Stream;
  Endpoint BackEnd;
  http::request<http::string_body> Request;
  http::response_parser<http::string_body> Parser;
  beast::flat_buffer Buffer;
  DoneHandler OnDone;
};

class BeastBackEndClient : public BackEndClient {
public:
  BeastBackEndClient(boost::asio::io_context &context, const Endpoint &backEnd)
      : Context(context), BackEnd(backEnd), Calls(std::make_shared<CallMap>()) {
  }

  ~BeastBackEndClient() override {
    for (const auto &it : *Calls)
      it.second->cancel();
  }
  BeastBackEndClient(const BeastBackEndClient &) = delete;
  BeastBackEndClient &operator=(const BeastBackEndClient &) = delete;

  BackEndCallId call(BackEndRequest request, Handler done) override {
    const BackEndCallId id{++LastId};
    auto call = std::make_shared<PendingCall>(
        Context, request, BackEnd,
        [calls = Calls, id,
         done = std::move(done)](absl::StatusOr<BackEndResponse> response) {
          calls->erase(id);
          done(std::move(response));
        });
    Calls->emplace(id, call);
    call->start();
    return id;
  }

  void cancel(BackEndCallId call) override {
    const auto it = Calls->find(call);
    if (it == Calls->end())
      return;
    it->second->cancel();
    Calls->erase(it);
  }

private:
  using CallMap = std::map<BackEndCallId, std::shared_ptr<PendingCall>>;

  boost::asio::io_context &Context;
  Endpoint BackEnd;
  std::shared_ptr<CallMap> Calls;
  std::uint64_t LastId = 0;
};

} // namespace

std::unique_ptr<BackEndClient>
makeBackEndClient(boost::asio::io_context &context, const Endpoint &backEnd) {
  return std::make_unique<BeastBackEndClient>(context, backEnd);
}

} // namespace pistachio
