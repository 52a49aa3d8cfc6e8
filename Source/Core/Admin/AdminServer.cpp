#include "Admin/Admin.h"
#include "Admin/AdminJson.h"
#include "Rules/Rules.h"

#include <algorithm>
#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>

namespace pistachio {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t MaxHeaderBytes = 16 * 1024;
constexpr std::size_t MaxOperatorBytes = 128;
/// A client that is still sending must receive the error response instead of a
/// connection reset. The server therefore reads and discards input up to these
/// limits before it closes the connection.
constexpr std::size_t MaxDiscardedBytes = 4 * MaxAdminBodyBytes;
constexpr Duration MaxDiscardTime{2000};
/// Delay before the next accept after a failed one, for example when no file
/// descriptors are available.
constexpr Duration AcceptRetryDelay{100};
/// Limits the work for one comparison of secrets.
constexpr std::size_t MaxSecretBytes = 256;
constexpr std::string_view BearerPrefix = "Bearer ";

/// Compares in a time that depends only on the lengths, so that it does not
/// reveal the position of the first difference.
bool equalInConstantTime(std::string_view presented, std::string_view secret) {
  volatile std::size_t difference = presented.size() ^ secret.size();
  for (std::size_t i = 0; i < presented.size(); ++i)
    difference = difference | static_cast<unsigned char>(
                                  presented[i] ^ secret[i % secret.size()]);
  return difference == 0;
}

bool isPrintableAscii(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7F; });
}

bool isOneLine(std::string_view text) {
  return std::ranges::none_of(text, [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7F;
  });
}

class Session;

struct ServerState {
  ServerState(asio::io_context &context, AdminServerOptions options,
              AdminBackend &backend)
      : Options(std::move(options)), Backend(backend), Acceptor(context),
        AcceptTimer(context) {}

  AdminServerOptions Options;
  AdminBackend &Backend;
  tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
  std::set<std::shared_ptr<Session>> Sessions;
  bool Accepting = false;
  bool Stopped = false;
};

void acceptNext(const std::shared_ptr<ServerState> &state);

/// One client connection. Its requests are handled one after the other.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<ServerState> state, tcp::socket socket)
      : State(std::move(state)), Socket(std::move(socket)),
        Timer(Socket.get_executor()) {}

  void readRequest() {
    TimedOut = false;
    Parser.emplace();
    Parser->body_limit(MaxAdminBodyBytes);
    Parser->header_limit(MaxHeaderBytes);
    arm(State->Options.RequestTimeout, [](Session &it) {
      it.TimedOut = true;
      error_code ec;
      it.Socket.cancel(ec);
    });
    http::async_read(Socket, Buffer, *Parser,
                     [self = shared_from_this()](error_code ec, std::size_t) {
                       self->onRead(ec);
                     });
  }

  void close() {
    ++TimerGeneration;
    Timer.cancel();
    error_code ec;
    Socket.close(ec);
    if (State->Sessions.erase(shared_from_this()) > 0 && !State->Stopped)
      acceptNext(State);
  }

private:
  /// Runs \p action after \p delay unless the timer is armed again or disarmed
  /// before.
  template <typename Action> void arm(Duration delay, Action action) {
    const std::uint64_t generation = ++TimerGeneration;
    Timer.expires_after(delay);
    Timer.async_wait(
        [self = shared_from_this(), generation, action](error_code ec) {
          if (!ec && generation == self->TimerGeneration)
            action(*self);
        });
  }

  void disarm() {
    ++TimerGeneration;
    Timer.cancel();
  }

  void onRead(error_code ec) {
    disarm();
    if (State->Stopped || !Socket.is_open())
      return;
    if (!ec) {
      KeepAlive = Parser->get().keep_alive();
      handle();
      return;
    }
    KeepAlive = false;
    const bool started = Parser->got_some() || Buffer.size() > 0;
    if (TimedOut && started)
      respondError(408, "timeout",
                   "the complete request did not arrive in time");
    else if (ec == http::error::body_limit)
      respondError(413, "too_large",
                   concat("the request body is longer than ",
                          std::to_string(MaxAdminBodyBytes), " bytes"));
    else if (ec == http::error::header_limit ||
             ec == http::error::buffer_overflow)
      respondError(431, "too_large",
                   concat("the request header is longer than ",
                          std::to_string(MaxHeaderBytes), " bytes"));
    else if (ec == http::error::partial_message)
      respondError(400, "cut_off",
                   "the connection was closed before the request was complete");
    else if (ec != http::error::end_of_stream &&
             ec.category() ==
                 http::make_error_code(http::error::bad_version).category())
      respondError(400, "malformed_request",
                   concat("the request is not valid HTTP/1.1: ", ec.message()));
    else
      close();
  }

  std::optional<std::string> authenticate() const {
    const auto field = Parser->get()[http::field::authorization];
    std::string_view presented(field.data(), field.size());
    if (!presented.starts_with(BearerPrefix))
      return std::nullopt;
    presented.remove_prefix(BearerPrefix.size());
    if (presented.size() > MaxSecretBytes)
      return std::nullopt;
    std::optional<std::string> team;
    // Every credential is compared, so that the response time does not reveal
    // the team.
    for (const TeamCredential &it : State->Options.Credentials)
      if (equalInConstantTime(presented, it.Secret))
        team = it.Team;
    return team;
  }

  void handle() {
    const auto &request = Parser->get();
    const auto team = authenticate();
    if (!team) {
      respondError(401, "unauthenticated",
                   "the credential is missing or unknown");
      return;
    }
    struct Route {
      std::string_view Target;
      http::verb Verb;
      void (Session::*Handler)(const std::string &team);
    };
    static constexpr Route Routes[] = {
        {"/v1/status", http::verb::get, &Session::getStatus},
        {"/v1/upstreams", http::verb::get, &Session::getUpstreams},
        {"/v1/rules", http::verb::get, &Session::getRules},
        {"/v1/rules/check", http::verb::post, &Session::checkRules},
        {"/v1/rules/apply", http::verb::post, &Session::applyRules},
    };
    const std::string_view target(request.target().data(),
                                  request.target().size());
    const auto *route = std::ranges::find(Routes, target, &Route::Target);
    if (route == std::end(Routes))
      respondError(404, "not_found", "there is no such resource");
    else if (route->Verb != request.method())
      respondError(405, "method_not_allowed",
                   "the resource does not support this method");
    else
      (this->*route->Handler)(*team);
  }

  /// Returns a callback for the backend that passes a successful result to \p
  /// action and responds with the error otherwise. If the backend timeout
  /// expires first, the response is \p timeoutStatus.
  template <typename Result, typename Action>
  std::function<void(absl::StatusOr<Result>)>
  makeBackendCallback(absl::Status timeoutStatus, Action action) {
    arm(State->Options.BackendTimeout,
        [timeoutStatus = std::move(timeoutStatus)](Session &it) {
          it.respondError(timeoutStatus);
        });
    // The callback holds a weak pointer, because the backend may keep it for
    // longer than the io_context exists.
    return [weak = weak_from_this(), generation = TimerGeneration,
            action = std::move(action)](absl::StatusOr<Result> result) {
      const auto self = weak.lock();
      if (!self)
        return;
      asio::dispatch(self->Socket.get_executor(), [self, generation, action,
                                                   result = std::move(result)] {
        if (generation != self->TimerGeneration || self->State->Stopped)
          return;
        self->disarm();
        if (result.ok())
          action(*self, *result);
        else
          self->respondError(result.status());
      });
    };
  }

  static absl::Status readTimeoutStatus() {
    return absl::UnavailableError(
        "the control instance did not answer in time");
  }

  void getStatus(const std::string &) {
    State->Backend.readStatus(makeBackendCallback<ControlStatus>(
        readTimeoutStatus(), [](Session &it, const ControlStatus &status) {
          it.respond(200, statusToJson(status));
        }));
  }

  void getUpstreams(const std::string &) {
    State->Backend.readStatus(makeBackendCallback<ControlStatus>(
        readTimeoutStatus(), [](Session &it, const ControlStatus &status) {
          it.respond(200, {{"upstreams", upstreamsToJson(status.Upstreams)}});
        }));
  }

  void getRules(const std::string &) {
    State->Backend.readRules(makeBackendCallback<CurrentRules>(
        readTimeoutStatus(), [](Session &it, const CurrentRules &rules) {
          it.respond(200, {{"rulesRevision", rules.RulesRevision.Value},
                           {"rules", rules.Rules}});
        }));
  }

  /// Returns the parsed and validated rules of the request body. If there are
  /// none, sends the error response and returns std::nullopt.
  std::optional<RuleSet> readRuleSet(const json::object &body) {
    const auto text = findText(body, "rules");
    if (!text) {
      respondError(400, "bad_request", "the body has no string field 'rules'");
      return std::nullopt;
    }
    if (text->size() > MaxRulesBytes) {
      respondError(413, "too_large",
                   concat("the rules are longer than ",
                          std::to_string(MaxRulesBytes), " bytes"));
      return std::nullopt;
    }
    Findings findings;
    auto rules = RuleSet::parse(*text, "rules", findings);
    if (!rules)
      respond(422, errorToJson("findings", "the rules have findings",
                               findings.items()));
    return rules;
  }

  std::optional<json::object> readBody() {
    auto body = parseObject(Parser->get().body());
    if (body.ok())
      return *std::move(body);
    respondError(400, "bad_request", messageOf(body.status()));
    return std::nullopt;
  }

  void checkRules(const std::string &team) {
    const auto body = readBody();
    if (!body)
      return;
    auto rules = readRuleSet(*body);
    if (!rules)
      return;
    State->Backend.readRules(makeBackendCallback<CurrentRules>(
        readTimeoutStatus(), [team, rules = *std::move(rules)](
                                 Session &it, const CurrentRules &current) {
          Findings findings;
          const auto before =
              RuleSet::parse(current.Rules, "current rules", findings);
          if (!before) {
            it.respondError(absl::InternalError(findings.format()));
            return;
          }
          const auto changes = diffRules(*before, rules);
          const absl::Status status = checkTeamMayApply(team, *before, changes);
          if (!status.ok()) {
            it.respondError(status);
            return;
          }
          it.respond(200, {{"rulesRevision", current.RulesRevision.Value},
                           {"changes", formatChanges(changes)}});
        }));
  }

  void applyRules(const std::string &team) {
    const auto body = readBody();
    if (!body)
      return;
    const auto operationId = findText(*body, "operationId");
    const auto revision = findNumber(*body, "expectedRevision");
    const auto operatorName = findText(*body, "operator");
    if (!operationId || operationId->empty() ||
        operationId->size() > MaxOperationIdBytes ||
        !isPrintableAscii(*operationId)) {
      respondError(400, "bad_request",
                   concat("'operationId' is not a string of 1 to ",
                          std::to_string(MaxOperationIdBytes),
                          " printable ASCII characters"));
      return;
    }
    if (!revision) {
      respondError(400, "bad_request",
                   "the body has no whole number 'expectedRevision'");
      return;
    }
    if (!operatorName || operatorName->empty() ||
        operatorName->size() > MaxOperatorBytes || !isOneLine(*operatorName)) {
      respondError(400, "bad_request",
                   concat("'operator' is not a one-line name of 1 to ",
                          std::to_string(MaxOperatorBytes), " bytes"));
      return;
    }
    const auto rules = readRuleSet(*body);
    if (!rules)
      return;
    State->Backend.apply(
        {*operationId, {*revision}, team, *operatorName, rules->text()},
        makeBackendCallback<ApplyOutcome>(
            absl::DeadlineExceededError("the outcome is not known yet; resend "
                                        "the request with the same "
                                        "operation id"),
            [](Session &it, const ApplyOutcome &outcome) {
              it.respond(200, {{"rulesRevision", outcome.RulesRevision.Value},
                               {"changes", outcome.Changes},
                               {"repeated", outcome.Repeated}});
            }));
  }

  void respondError(const absl::Status &status) {
    respond(errorKind(status.code()).HttpStatus, errorToJson(status));
  }

  void respondError(unsigned httpStatus, std::string_view code,
                    std::string_view message) {
    respond(httpStatus, errorToJson(code, message, {}));
  }

  void respond(unsigned httpStatus, const json::object &body) {
    Response = {};
    Response.result(httpStatus);
    Response.version(11);
    Response.set(http::field::content_type, "application/json");
    Response.set(http::field::cache_control, "no-store");
    if (httpStatus == 401)
      Response.set(http::field::www_authenticate, "Bearer");
    Response.keep_alive(KeepAlive);
    Response.body() = json::serialize(body);
    Response.prepare_payload();
    arm(State->Options.RequestTimeout, [](Session &it) { it.close(); });
    http::async_write(Socket, Response,
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        self->onWritten(ec);
                      });
  }

  void onWritten(error_code ec) {
    if (State->Stopped || !Socket.is_open())
      return;
    disarm();
    if (ec) {
      close();
    } else if (KeepAlive) {
      readRequest();
    } else {
      Socket.shutdown(tcp::socket::shutdown_send, ec);
      arm(MaxDiscardTime, [](Session &it) { it.close(); });
      discardInput();
    }
  }

  void discardInput() {
    Socket.async_read_some(
        asio::buffer(DiscardBuffer),
        [self = shared_from_this()](error_code ec, std::size_t n) {
          self->DiscardedBytes += n;
          if (ec || self->DiscardedBytes > MaxDiscardedBytes)
            self->close();
          else
            self->discardInput();
        });
  }

  std::shared_ptr<ServerState> State;
  tcp::socket Socket;
  asio::steady_timer Timer;
  /// Incremented whenever the timer is armed or disarmed. Backend results and
  /// timeouts of an earlier generation are ignored.
  std::uint64_t TimerGeneration = 0;
  boost::beast::flat_buffer Buffer{MaxAdminBodyBytes + MaxHeaderBytes};
  std::optional<http::request_parser<http::string_body>> Parser;
  http::response<http::string_body> Response;
  std::array<char, 16 * 1024> DiscardBuffer{};
  std::size_t DiscardedBytes = 0;
  bool KeepAlive = false;
  bool TimedOut = false;
};

void onAccept(const std::shared_ptr<ServerState> &state, error_code ec,
              tcp::socket socket) {
  state->Accepting = false;
  if (state->Stopped)
    return;
  if (!ec) {
    auto session = std::make_shared<Session>(state, std::move(socket));
    state->Sessions.insert(session);
    session->readRequest();
    acceptNext(state);
    return;
  }
  state->AcceptTimer.expires_after(AcceptRetryDelay);
  state->AcceptTimer.async_wait([state](error_code error) {
    if (!error)
      acceptNext(state);
  });
}

void acceptNext(const std::shared_ptr<ServerState> &state) {
  if (state->Stopped || state->Accepting ||
      state->Sessions.size() >= state->Options.MaxConnections)
    return;
  state->Accepting = true;
  state->Acceptor.async_accept([state](error_code ec, tcp::socket socket) {
    onAccept(state, ec, std::move(socket));
  });
}

class HttpAdminServer final : public AdminServer {
public:
  explicit HttpAdminServer(std::shared_ptr<ServerState> state)
      : State(std::move(state)) {}
  ~HttpAdminServer() override { shutDown(); }

  Endpoint endpoint() const override { return State->Options.Listen; }
  std::size_t connections() const override { return State->Sessions.size(); }
  void stop() override { shutDown(); }

private:
  void shutDown() {
    State->Stopped = true;
    error_code ec;
    State->Acceptor.close(ec);
    State->AcceptTimer.cancel();
    const auto sessions = std::move(State->Sessions);
    State->Sessions.clear();
    for (const auto &it : sessions)
      it->close();
  }

  std::shared_ptr<ServerState> State;
};

} // namespace

absl::StatusOr<std::unique_ptr<AdminServer>>
startAdminServer(asio::io_context &context, AdminServerOptions options,
                 AdminBackend &backend) {
  if (options.Credentials.empty())
    return absl::InvalidArgumentError(
        "the administration API needs at least one credential");
  for (const TeamCredential &it : options.Credentials)
    if (it.Team.empty() || it.Secret.empty() ||
        it.Secret.size() > MaxSecretBytes)
      return absl::InvalidArgumentError(
          "a credential has an empty team, or a secret that is empty or too "
          "long");
  auto state =
      std::make_shared<ServerState>(context, std::move(options), backend);
  Endpoint &listen = state->Options.Listen;
  const tcp::endpoint endpoint(asio::ip::address_v4(listen.Address),
                               listen.Port);
  error_code ec;
  state->Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    state->Acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    state->Acceptor.bind(endpoint, ec);
  if (!ec)
    state->Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return absl::UnavailableError(
        concat("cannot listen on ", toString(listen), ": ", ec.message()));
  listen.Port = state->Acceptor.local_endpoint().port();
  acceptNext(state);
  return std::make_unique<HttpAdminServer>(std::move(state));
}

} // namespace pistachio
