#include "Admin/Admin.h"
#include "Admin/AdminJson.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

namespace pistachio {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

/// A status document with 130,000 upstreams takes about 30 MB.
constexpr std::uint64_t MaxAnswerBytes = 64 * 1024 * 1024;

/// Sends one request on its own connection and reads the response.
class HttpExchange {
public:
  HttpExchange(const Endpoint &server, http::request<http::string_body> request)
      : Server(server), Request(std::move(request)) {
    Parser.body_limit(MaxAnswerBytes);
  }

  /// Returns false if no complete response arrived within \p timeout.
  bool run(Duration timeout) {
    Stream.expires_after(timeout);
    Stream.async_connect(
        tcp::endpoint(asio::ip::address_v4(Server.Address), Server.Port),
        [this](error_code ec) { onConnected(ec); });
    // Returns when no operation is pending, at the latest when the stream
    // expires.
    Context.run();
    return Complete;
  }

  /// Returns whether the server may have received any part of the request.
  bool mayHaveBeenSent() const { return MayHaveBeenSent; }
  const std::string &error() const { return Error; }
  const http::response<http::string_body> &answer() const {
    return Parser.get();
  }

private:
  void onConnected(error_code ec) {
    if (failed(ec))
      return;
    MayHaveBeenSent = true;
    http::async_write(Stream, Request, [this](error_code error, std::size_t) {
      // Reads the response even after a failed write, because a server that
      // rejects a long request responds before it has read all of it.
      if (error)
        Error = error.message();
      http::async_read(
          Stream, Buffer, Parser,
          [this](error_code last, std::size_t) { Complete = !failed(last); });
    });
  }

  bool failed(error_code ec) {
    if (ec && Error.empty())
      Error = ec.message();
    return static_cast<bool>(ec);
  }

  Endpoint Server;
  asio::io_context Context;
  boost::beast::tcp_stream Stream{Context};
  http::request<http::string_body> Request;
  boost::beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  std::string Error;
  bool MayHaveBeenSent = false;
  bool Complete = false;
};

class HttpAdminClient final : public AdminClient {
public:
  HttpAdminClient(std::vector<Endpoint> servers, std::string secret,
                  Duration deadline)
      : Servers(std::move(servers)), Secret(std::move(secret)),
        Deadline(deadline) {}

  absl::StatusOr<CurrentRules> readRules() override {
    const auto answer = call(http::verb::get, "/v1/rules", "");
    if (!answer.ok())
      return answer.status();
    const auto revision = findNumber(*answer, "rulesRevision");
    auto rules = findText(*answer, "rules");
    if (!revision || !rules)
      return absl::InternalError(
          "the answer of the server lacks the rules or their revision");
    return CurrentRules{{*revision}, *std::move(rules)};
  }

  absl::StatusOr<ControlStatus> readStatus() override {
    const auto answer = call(http::verb::get, "/v1/status", "");
    if (!answer.ok())
      return answer.status();
    return statusFromJson(*answer);
  }

  absl::StatusOr<ApplyOutcome> apply(const ApplyRequest &request) override {
    const json::object body = {
        {"operationId", request.OperationId},
        {"expectedRevision", request.ExpectedRevision.Value},
        {"operator", request.Operator},
        {"rules", request.Rules}};
    const auto answer =
        call(http::verb::post, "/v1/rules/apply", json::serialize(body));
    if (!answer.ok())
      return answer.status();
    const auto revision = findNumber(*answer, "rulesRevision");
    auto changes = findText(*answer, "changes");
    const json::value *repeated = answer->if_contains("repeated");
    if (!revision || !changes || repeated == nullptr || !repeated->is_bool())
      return absl::DeadlineExceededError(
          "the answer to the change lacks a field; the outcome is unknown");
    return ApplyOutcome{{*revision}, *std::move(changes), repeated->get_bool()};
  }

private:
  using Clock = std::chrono::steady_clock;

  absl::StatusOr<json::object> call(http::verb verb, std::string_view target,
                                    const std::string &body) {
    const auto deadline = Clock::now() + Deadline;
    absl::Status last = absl::UnavailableError("no server address was given");
    for (std::size_t left = Servers.size(); left > 0; --left) {
      const auto serverTimeout = std::chrono::duration_cast<Duration>(
          (deadline - Clock::now()) / static_cast<int>(left));
      if (serverTimeout <= Duration::zero())
        break;
      auto answer = callServer(Servers[PreferredServer], verb, target, body,
                               serverTimeout);
      if (answer.ok())
        return answer;
      last = answer.status();
      const bool outcomeUnknown = absl::IsDeadlineExceeded(last);
      if (!outcomeUnknown && !absl::IsUnavailable(last))
        return last;
      PreferredServer = (PreferredServer + 1) % Servers.size();
      if (outcomeUnknown && verb == http::verb::post)
        return last;
    }
    // A read changes nothing, so a lost response only means that the servers
    // were unavailable.
    if (absl::IsDeadlineExceeded(last))
      return absl::UnavailableError(messageOf(last));
    return last;
  }

  absl::StatusOr<json::object>
  callServer(const Endpoint &server, http::verb verb, std::string_view target,
             const std::string &body, Duration timeout) const {
    http::request<http::string_body> request(
        verb, {target.data(), target.size()}, 11);
    request.set(http::field::host, toString(server));
    request.set(http::field::authorization, "Bearer " + Secret);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();

    HttpExchange exchange(server, std::move(request));
    if (!exchange.run(timeout)) {
      const std::string message =
          concat(toString(server), ": ", exchange.error());
      if (exchange.mayHaveBeenSent())
        return absl::DeadlineExceededError(
            concat("no complete answer from ", message));
      return absl::UnavailableError(concat("cannot reach ", message));
    }
    const auto &answer = exchange.answer();
    auto object = parseObject(answer.body());
    if (!object.ok())
      return absl::DeadlineExceededError(
          concat(toString(server),
                 " sent no valid answer: ", messageOf(object.status())));
    if (answer.result() == http::status::ok)
      return *std::move(object);
    return addServerAddress(server, answer.result_int(),
                            errorFromJson(*object));
  }

  static absl::Status addServerAddress(const Endpoint &server,
                                       unsigned httpStatus,
                                       const absl::Status &status) {
    const std::string message =
        concat(toString(server), ": ", messageOf(status));
    // A 408 means that the server did not receive the whole request, so nothing
    // was changed.
    if (httpStatus == 408)
      return absl::UnavailableError(message);
    // After an internal error of the server it is unknown whether the change
    // was made.
    if (httpStatus >= 500 && absl::IsInternal(status))
      return absl::DeadlineExceededError(message);
    if (absl::IsUnavailable(status) || absl::IsInternal(status))
      return {status.code(), message};
    return status;
  }

  std::vector<Endpoint> Servers;
  std::string Secret;
  Duration Deadline;
  /// Index of the server that the next call tries first.
  std::size_t PreferredServer = 0;
};

} // namespace

std::unique_ptr<AdminClient> makeAdminClient(std::vector<Endpoint> servers,
                                             std::string secret,
                                             Duration deadline) {
  return std::make_unique<HttpAdminClient>(std::move(servers),
                                           std::move(secret), deadline);
}

absl::StatusOr<std::string> readExplanation(const Endpoint &balancer,
                                            const FlowEndpoints &flow,
                                            Duration timeout) {
  const std::string target = concat("/explain?caller=", toString(flow.Caller),
                                    "&service=", toString(flow.Service));
  http::request<http::string_body> request(http::verb::get, target, 11);
  request.set(http::field::host, toString(balancer));
  request.keep_alive(false);
  request.prepare_payload();
  HttpExchange exchange(balancer, std::move(request));
  if (!exchange.run(timeout))
    return absl::UnavailableError(concat(
        exchange.mayHaveBeenSent() ? "no complete answer from the balancer "
                                   : "cannot reach the balancer ",
        toString(balancer), ": ", exchange.error()));
  const auto &answer = exchange.answer();
  if (answer.result() == http::status::not_found)
    return absl::NotFoundError(
        concat(toString(balancer),
               " serves no explanations: it is not the metrics address of a "
               "balancer in mode relay, or its release is older"));
  const auto object = parseObject(answer.body());
  if (!object.ok())
    return absl::InternalError(
        concat(toString(balancer),
               " sent no valid answer: ", messageOf(object.status())));
  if (answer.result() == http::status::ok)
    return answer.body();
  const absl::Status error = errorFromJson(*object);
  return absl::Status(absl::IsUnavailable(error) ? error.code()
                                                 : absl::StatusCode::kInternal,
                      concat(toString(balancer), ": ", messageOf(error)));
}

} // namespace pistachio
