#include "Control/ControlData.h"
#include "Control/StateCodec.h"
#include "Control/TableParts.h"

#include <algorithm>
#include <limits>
#include <set>

namespace pistachio {
namespace {

/// Longest result text that is stored. The text is truncated before it is
/// stored, so that a resent operation gets the same text as the first one.
constexpr std::size_t MaxResultTextBytes = 64 * 1024;

/// Kinds of rules that a routing command replaces.
constexpr std::string_view RoutingRuleKinds[] = {"service", "route"};

/// Number of upstreams that are remembered after their announcements timed out.
/// The oldest are dropped first. The target's installation loses fewer in a
/// day.
constexpr std::size_t MaxLostUpstreams = 1024;

/// Truncates the text after a complete line and appends the number of omitted
/// lines.
std::string truncateResultText(std::string text) {
  if (text.size() <= MaxResultTextBytes)
    return text;
  const std::size_t end = text.rfind('\n', MaxResultTextBytes);
  const std::size_t n = end == std::string::npos ? MaxResultTextBytes : end + 1;
  const auto omittedLines = std::count(text.begin() + n, text.end(), '\n');
  text.resize(n);
  return text + "and " + std::to_string(omittedLines) + " more lines\n";
}

class ControlStateImpl final : public ControlState {
public:
  void apply(std::uint64_t index, const LogCommand &command) override {
    const Revision at{index};
    TableChange change;
    change.AtRevision = at;
    const bool publishes = std::visit(
        [&](const auto &it) { return applyCommand(it, change); }, command);
    if (!publishes)
      return;
    Data.Published = at;
    Data.History.add(std::move(change));
  }

  std::optional<ApplyResult>
  findResult(std::string_view operationId) const override {
    const ApplyResult *it = Data.Results.find(operationId);
    return it ? std::optional(*it) : std::nullopt;
  }

  Revision publishedRevision() const override { return Data.Published; }
  Revision rulesRevision() const override { return Data.RulesRevision; }
  const RuleSet &rules() const override { return Data.Rules; }
  const RoutingDocument &routing() const override { return Data.Routing; }

  std::vector<ServiceRecord> services() const override {
    std::vector<ServiceRecord> all;
    for (const auto &[name, it] : Data.Services)
      all.push_back(it);
    return all;
  }

  std::vector<UpstreamInfo> upstreams() const override {
    std::vector<UpstreamInfo> all;
    all.reserve(Data.Upstreams.size());
    for (const auto &[id, it] : Data.Upstreams)
      all.push_back(it);
    return all;
  }

  std::optional<UpstreamInfo> findUpstream(UpstreamId id) const override {
    const auto it = Data.Upstreams.find(id);
    return it == Data.Upstreams.end() ? std::nullopt
                                      : std::optional(it->second);
  }

  std::optional<UpstreamInfo>
  findUpstream(const Endpoint &address) const override {
    const auto it = UpstreamByAddress.find(address);
    return it == UpstreamByAddress.end() ? std::nullopt
                                         : findUpstream(it->second);
  }

  std::vector<BalancerRecord> balancers() const override {
    std::vector<BalancerRecord> all;
    for (const auto &[name, it] : Data.Balancers)
      all.push_back(it);
    return all;
  }

  std::optional<BalancerRecord>
  findBalancer(std::string_view name) const override {
    const auto it = Data.Balancers.find(name);
    return it == Data.Balancers.end() ? std::nullopt
                                      : std::optional(it->second);
  }

  std::optional<ServiceRecord>
  findService(std::string_view name) const override {
    const auto it = Data.Services.find(name);
    return it == Data.Services.end() ? std::nullopt : std::optional(it->second);
  }

  std::optional<DataCentreRecord>
  findDataCentre(std::string_view name) const override {
    const auto it = Data.DataCentres.find(name);
    return it == Data.DataCentres.end() ? std::nullopt
                                        : std::optional(it->second);
  }

  std::vector<TableUpdate> updatesSince(Revision have) const override {
    if (have >= Data.Published)
      return {};
    return Data.History.covers(have) ? delta(have) : fullTable();
  }

  Bytes save() const override { return encodeControlData(Data); }

  absl::Status load(std::span<const std::byte> buf) override {
    absl::StatusOr<ControlData> data = decodeControlData(buf);
    if (!data.ok())
      return data.status();
    Data = *std::move(data);
    UpstreamByAddress.clear();
    for (const auto &[id, it] : Data.Upstreams)
      UpstreamByAddress[it.Record.Address] = id;
    rebuildDrainedUpstreams();
    rebuildRetiredServices();
    return absl::OkStatus();
  }

private:
  // Each overload of applyCommand() returns true if the published state
  // changed.

  bool applyCommand(const ApplyRules &command, TableChange &change);
  bool applyCommand(const UpstreamJoined &command, TableChange &change);
  bool applyCommand(const UpstreamChanged &command, TableChange &change);
  bool applyCommand(const UpstreamLeft &command, TableChange &change);
  bool applyCommand(const BalancerJoined &command, TableChange &change);
  bool applyCommand(const BalancerLeft &command, TableChange &change);
  bool applyCommand(const ApplyRouting &command, TableChange &change);
  bool applyCommand(const SetDataCentre &command, TableChange &change);

  template <typename Command, typename Execute>
  bool applyIdempotent(const Command &command, Execute execute);
  ApplyResult execute(const ApplyRouting &command, TableChange &change);
  ApplyResult execute(const SetDataCentre &command, TableChange &change);
  ApplyResult replaceRulesText(const std::string &text, TableChange &change);
  ApplyResult execute(const ApplyRules &command, TableChange &change);
  void installRules(RuleSet rules, TableChange &change);
  void updateServices(TableChange &change);
  void updateRoutes(TableChange &change);
  void updateDataCentres(TableChange &change);
  void removeOrphans(TableChange &change);
  void removeRetiredServices(TableChange &change);
  void removeService(const std::string &name, TableChange &change);
  /// Services with an upstream that is registered or lost.
  std::set<ServiceId> servicesWithUpstreams() const;
  void dropExcessFormerServices(RouteRecord &route) const;
  void updateUpstreamStates(TableChange &change);
  DataCentreId allocateDataCentreId();
  void removeUpstream(UpstreamId id, TableChange &change);
  UpstreamState effectiveState(const UpstreamInfo &upstream) const;

  std::vector<TableUpdate> delta(Revision have) const;
  std::vector<TableUpdate> fullTable() const;

  /// Rebuilds the set of upstream ids in the drain rules. Ids of unknown
  /// upstreams have no effect.
  void rebuildDrainedUpstreams() {
    DrainedUpstreams = {Data.Rules.drainingUpstreams().begin(),
                        Data.Rules.drainingUpstreams().end()};
  }

  void rebuildRetiredServices() {
    RetiredServices.clear();
    for (const auto &[name, it] : Data.Services)
      RetiredServices.insert(name);
    for (const ServiceRule &it : Data.Rules.services())
      RetiredServices.erase(it.Name);
  }

  ControlData Data;
  // Indexes derived from Data; they are not part of the snapshot.
  std::map<Endpoint, UpstreamId> UpstreamByAddress;
  std::set<UpstreamId> DrainedUpstreams;
  /// Services that the rules no longer have. Routes that named them may still
  /// have open flows at their upstreams, so they stay in the table while one of
  /// the upstreams does or is lost. No new flow is sent to them.
  std::set<std::string> RetiredServices;
};

/// Runs \p execute and stores its result, unless the operation id already has a
/// result. This makes a resent operation idempotent.
template <typename Command, typename Execute>
bool ControlStateImpl::applyIdempotent(const Command &command,
                                       Execute execute) {
  Data.Results.advanceLogTime(command.ProposedAtMs);
  if (Data.Results.find(command.OperationId))
    return false;
  ApplyResult result = execute();
  const bool publishes = result.Outcome == ApplyResult::Code::Applied;
  result.Text = truncateResultText(std::move(result.Text));
  Data.Results.add(command.OperationId, std::move(result));
  return publishes;
}

bool ControlStateImpl::applyCommand(const ApplyRules &command,
                                    TableChange &change) {
  return applyIdempotent(command, [&] { return execute(command, change); });
}

bool ControlStateImpl::applyCommand(const ApplyRouting &command,
                                    TableChange &change) {
  return applyIdempotent(command, [&] { return execute(command, change); });
}

bool ControlStateImpl::applyCommand(const SetDataCentre &command,
                                    TableChange &change) {
  return applyIdempotent(command, [&] { return execute(command, change); });
}

ApplyResult ControlStateImpl::execute(const ApplyRouting &command,
                                      TableChange &change) {
  using Code = ApplyResult::Code;
  if (command.Version <= Data.Routing.Version)
    return {Code::Unchanged, Data.RulesRevision, ""};
  ApplyResult result = replaceRulesText(
      replaceRules(Data.Rules, RoutingRuleKinds, command.Lines), change);
  if (result.Outcome == Code::Invalid)
    return result;
  Data.Routing = {command.Version, command.Document};
  return result;
}

ApplyResult ControlStateImpl::execute(const SetDataCentre &command,
                                      TableChange &change) {
  const std::string &name = command.DataCentre;
  const auto has = [&](std::span<const std::string> names) {
    return std::ranges::find(names, name) != names.end();
  };
  const auto line = [&](std::string_view kind) {
    return concat(kind, " ", name, " # asked by ", command.Operator, "\n");
  };
  std::string text = Data.Rules.text();
  if (!text.empty() && !text.ends_with('\n'))
    text += '\n';
  if (!has(Data.Rules.dataCentres()))
    text += line("datacentre");
  const bool isOut = has(Data.Rules.dataCentresOut());
  if (command.Change == DataCentreChange::TakeOut && !isOut) {
    text += line("out");
  } else if (command.Change == DataCentreChange::BringBack && isOut) {
    absl::StatusOr<std::string> without =
        removeRule(Data.Rules, concat("out ", name));
    if (!without.ok())
      return {ApplyResult::Code::Invalid, Data.RulesRevision,
              messageOf(without.status())};
    text = *std::move(without);
  }
  return replaceRulesText(text, change);
}

ApplyResult ControlStateImpl::replaceRulesText(const std::string &text,
                                               TableChange &change) {
  using Code = ApplyResult::Code;
  if (text == Data.Rules.text())
    return {Code::Unchanged, Data.RulesRevision, ""};
  Findings findings;
  std::optional<RuleSet> rules = RuleSet::parse(text, "rules", findings);
  if (!rules)
    return {Code::Invalid, Data.RulesRevision, findings.format()};
  installRules(*std::move(rules), change);
  return {Code::Applied, change.AtRevision, ""};
}

ApplyResult ControlStateImpl::execute(const ApplyRules &command,
                                      TableChange &change) {
  using Code = ApplyResult::Code;
  const Revision now = Data.RulesRevision;
  if (command.ExpectedRevision != now)
    return {Code::Conflict, now,
            "the rules are at revision " + std::to_string(now.Value) +
                ", expected " + std::to_string(command.ExpectedRevision.Value)};
  Findings findings;
  std::optional<RuleSet> rules =
      RuleSet::parse(command.Rules, "rules", findings);
  if (!rules)
    return {Code::Invalid, now, findings.format()};
  const std::vector<RuleChange> changes = diffRules(Data.Rules, *rules);
  if (const absl::Status permitted =
          checkTeamMayApply(command.Team, Data.Rules, changes);
      !permitted.ok())
    return {Code::NotPermitted, now, messageOf(permitted)};
  if (rules->text() == Data.Rules.text())
    return {Code::Unchanged, now, ""};
  if (rules->dataCentres().size() >= std::numeric_limits<std::uint16_t>::max())
    return {Code::Invalid, now, "too many data centres\n"};
  installRules(*std::move(rules), change);
  return {Code::Applied, change.AtRevision, formatChanges(changes)};
}

void ControlStateImpl::installRules(RuleSet rules, TableChange &change) {
  Data.Rules = std::move(rules);
  Data.RulesRevision = change.AtRevision;
  rebuildDrainedUpstreams();
  updateServices(change);
  updateRoutes(change);
  updateDataCentres(change);
  removeOrphans(change);
  removeRetiredServices(change);
  updateUpstreamStates(change);
}

void ControlStateImpl::updateServices(TableChange &change) {
  std::map<std::string, ServiceRecord, std::less<>> next;
  for (const ServiceRule &rule : Data.Rules.services()) {
    const auto old = Data.Services.find(rule.Name);
    ServiceRecord record{{}, rule.Name, rule.Address};
    if (old != Data.Services.end())
      record.Id = old->second.Id;
    else
      record.Id = Data.LastServiceId = ServiceId{Data.LastServiceId.Value + 1};
    if (old == Data.Services.end() || old->second != record)
      change.Services.push_back(record.Id);
    next.emplace(rule.Name, std::move(record));
  }
  const std::set<ServiceId> used = servicesWithUpstreams();
  for (const auto &[name, record] : Data.Services) {
    if (next.contains(name))
      continue;
    // Without an address the service gets no new flows of its own.
    ServiceRecord retired{record.Id, name, {}};
    const bool isKept = used.contains(record.Id);
    if (!isKept || retired != record)
      change.Services.push_back(record.Id);
    if (isKept)
      next.emplace(name, std::move(retired));
  }
  Data.Services = std::move(next);
  rebuildRetiredServices();
}

std::set<ServiceId> ControlStateImpl::servicesWithUpstreams() const {
  std::set<ServiceId> used;
  for (const auto &[id, it] : Data.Upstreams)
    used.insert(it.Record.Service);
  for (const LostUpstream &it : Data.LostUpstreams)
    used.insert(it.Service);
  return used;
}

/// Removes the retired services without upstreams, and those that no route has
/// named before.
void ControlStateImpl::removeRetiredServices(TableChange &change) {
  if (RetiredServices.empty())
    return;
  const std::set<ServiceId> used = servicesWithUpstreams();
  const std::set<std::string> retired = RetiredServices;
  for (const std::string &name : retired) {
    const ServiceId id = Data.Services.at(name).Id;
    const bool isFormer = std::ranges::any_of(Data.Routes, [&](const auto &it) {
      return std::ranges::count(it.second.FormerServices, id) > 0;
    });
    if (!isFormer || !used.contains(id))
      removeService(name, change);
  }
}

void ControlStateImpl::removeService(const std::string &name,
                                     TableChange &change) {
  const ServiceId id = Data.Services.at(name).Id;
  for (auto &[address, route] : Data.Routes)
    if (std::erase(route.FormerServices, id) > 0)
      change.Routes.push_back(address);
  for (const UpstreamInfo &it : upstreams())
    if (it.Record.Service == id)
      removeUpstream(it.Record.Id, change);
  std::erase_if(Data.LostUpstreams,
                [&](const LostUpstream &it) { return it.Service == id; });
  change.Services.push_back(id);
  Data.Services.erase(name);
  RetiredServices.erase(name);
}

/// Drops the services without upstreams first, and then the oldest.
void ControlStateImpl::dropExcessFormerServices(RouteRecord &route) const {
  std::vector<ServiceId> &former = route.FormerServices;
  if (former.size() <= MaxFormerServices)
    return;
  const std::set<ServiceId> used = servicesWithUpstreams();
  while (former.size() > MaxFormerServices) {
    const auto unused = std::ranges::find_if(
        former, [&](ServiceId id) { return !used.contains(id); });
    former.erase(unused == former.end() ? former.begin() : unused);
  }
}

void ControlStateImpl::updateRoutes(TableChange &change) {
  std::map<Endpoint, RouteRecord> next;
  std::set<ServiceId> services;
  for (const auto &[name, it] : Data.Services)
    services.insert(it.Id);
  for (const RouteRule &rule : Data.Rules.routes()) {
    RouteRecord record{rule.Address, {}, {}, rule.Terms};
    for (const RouteTarget &it : rule.Targets)
      record.Shares.push_back(
          {Data.Services.at(it.Service).Id, it.Weight,
           coldStartRateMilliPerSecond(Data.Rules, it.Service)});
    const auto isNamed = [&](ServiceId id) {
      return std::ranges::count(record.Shares, id, &RouteShare::Service) > 0;
    };
    const auto old = Data.Routes.find(rule.Address);
    if (old != Data.Routes.end()) {
      record.FormerServices = old->second.FormerServices;
      for (const RouteShare &it : old->second.Shares)
        if (std::ranges::count(record.FormerServices, it.Service) == 0)
          record.FormerServices.push_back(it.Service);
      std::erase_if(record.FormerServices, [&](ServiceId id) {
        return isNamed(id) || !services.contains(id);
      });
      dropExcessFormerServices(record);
    }
    if (old == Data.Routes.end() || old->second != record)
      change.Routes.push_back(rule.Address);
    next.emplace(rule.Address, std::move(record));
  }
  for (const auto &[address, record] : Data.Routes)
    if (!next.contains(address))
      change.Routes.push_back(address);
  Data.Routes = std::move(next);
}

void ControlStateImpl::updateDataCentres(TableChange &change) {
  const std::set<std::string, std::less<>> out(
      Data.Rules.dataCentresOut().begin(), Data.Rules.dataCentresOut().end());
  const std::set<std::string, std::less<>> declared(
      Data.Rules.dataCentres().begin(), Data.Rules.dataCentres().end());
  for (auto it = Data.DataCentres.begin(); it != Data.DataCentres.end();) {
    const bool keep = declared.contains(it->first);
    if (!keep)
      change.DataCentres.push_back(it->second.Id);
    it = keep ? std::next(it) : Data.DataCentres.erase(it);
  }
  for (const std::string &name : Data.Rules.dataCentres()) {
    const auto old = Data.DataCentres.find(name);
    const bool isNew = old == Data.DataCentres.end();
    DataCentreRecord record{isNew ? allocateDataCentreId() : old->second.Id,
                            name, out.contains(name)};
    if (!isNew && old->second == record)
      continue;
    change.DataCentres.push_back(record.Id);
    Data.DataCentres[name] = std::move(record);
  }
}

/// Returns the next unused id. Ids have 16 bits and are reused after 65,535
/// declarations; ids still in use are skipped.
DataCentreId ControlStateImpl::allocateDataCentreId() {
  const auto isUsed = [&](DataCentreId id) {
    return std::any_of(Data.DataCentres.begin(), Data.DataCentres.end(),
                       [&](const auto &it) { return it.second.Id == id; });
  };
  DataCentreId &last = Data.LastDataCentreId;
  do {
    last.Value = static_cast<std::uint16_t>(last.Value + 1);
  } while (!last || isUsed(last));
  return last;
}

/// Removes the upstreams whose service or data centre, and the balancers whose
/// data centre, is no longer in the rules.
void ControlStateImpl::removeOrphans(TableChange &change) {
  std::set<ServiceId> services;
  for (const auto &[name, it] : Data.Services)
    services.insert(it.Id);
  std::set<DataCentreId> dataCentres;
  for (const auto &[name, it] : Data.DataCentres)
    dataCentres.insert(it.Id);
  for (const UpstreamInfo &it : upstreams()) {
    if (!services.contains(it.Record.Service) ||
        !dataCentres.contains(it.Record.DataCentre))
      removeUpstream(it.Record.Id, change);
  }
  std::erase_if(Data.Balancers, [&](const auto &it) {
    const bool isOrphan = !dataCentres.contains(it.second.DataCentre);
    if (isOrphan)
      change.Balancers.push_back(it.first);
    return isOrphan;
  });
}

void ControlStateImpl::updateUpstreamStates(TableChange &change) {
  for (auto &[id, it] : Data.Upstreams) {
    const UpstreamState state = effectiveState(it);
    if (state == it.Record.State)
      continue;
    it.Record.State = state;
    change.Upstreams.push_back(id);
  }
}

UpstreamState
ControlStateImpl::effectiveState(const UpstreamInfo &upstream) const {
  if (upstream.AnnouncedState != UpstreamState::Active)
    return upstream.AnnouncedState;
  return DrainedUpstreams.contains(upstream.Record.Id) ? UpstreamState::Draining
                                                       : UpstreamState::Active;
}

bool ControlStateImpl::applyCommand(const UpstreamJoined &command,
                                    TableChange &change) {
  const std::optional<ServiceRecord> service = findService(command.Service);
  const std::optional<DataCentreRecord> dataCentre =
      findDataCentre(command.DataCentre);
  if (!service || !dataCentre)
    return false;
  if (const auto previous = findUpstream(command.Address)) {
    // Incarnation numbers increase with the start time of the process. An
    // earlier or equal one was proposed before the current incarnation was
    // known.
    if (previous->Record.ProcessIncarnation >= command.ProcessIncarnation)
      return false;
    removeUpstream(previous->Record.Id, change);
  }
  std::erase_if(Data.LostUpstreams, [&](const LostUpstream &it) {
    return it.Address == command.Address;
  });
  UpstreamInfo info;
  info.Record.Id = Data.LastUpstreamId =
      UpstreamId{Data.LastUpstreamId.Value + 1};
  info.Record.Service = service->Id;
  info.Record.DataCentre = dataCentre->Id;
  info.Record.Address = command.Address;
  info.Record.ProcessIncarnation = command.ProcessIncarnation;
  info.Zone = command.Zone;
  info.Machine = command.Machine;
  info.Slots = command.Slots;
  info.Record.State = effectiveState(info);
  change.Upstreams.push_back(info.Record.Id);
  UpstreamByAddress[command.Address] = info.Record.Id;
  Data.Upstreams.emplace(info.Record.Id, std::move(info));
  // The previous upstream at the address may have been the last of its service.
  removeRetiredServices(change);
  return true;
}

bool ControlStateImpl::applyCommand(const UpstreamChanged &command,
                                    TableChange &change) {
  const auto it = Data.Upstreams.find(command.Upstream);
  if (it == Data.Upstreams.end() ||
      it->second.Record.ProcessIncarnation != command.ProcessIncarnation)
    return false;
  it->second.AnnouncedState = command.State;
  const UpstreamState state = effectiveState(it->second);
  if (state == it->second.Record.State)
    return false;
  it->second.Record.State = state;
  change.Upstreams.push_back(command.Upstream);
  return true;
}

bool ControlStateImpl::applyCommand(const UpstreamLeft &command,
                                    TableChange &change) {
  const auto it = Data.Upstreams.find(command.Upstream);
  if (it == Data.Upstreams.end() ||
      it->second.Record.ProcessIncarnation != command.ProcessIncarnation)
    return false;
  // An upstream that leaves after it has become suspect was most likely removed
  // by a timeout: it may still hold flows.
  if (it->second.AnnouncedState == UpstreamState::Suspect) {
    Data.LostUpstreams.push_back(
        {it->second.Record.Address, it->second.Record.Service});
    if (Data.LostUpstreams.size() > MaxLostUpstreams)
      Data.LostUpstreams.pop_front();
  }
  removeUpstream(command.Upstream, change);
  removeRetiredServices(change);
  return true;
}

void ControlStateImpl::removeUpstream(UpstreamId id, TableChange &change) {
  const auto it = Data.Upstreams.find(id);
  UpstreamByAddress.erase(it->second.Record.Address);
  Data.Upstreams.erase(it);
  change.Upstreams.push_back(id);
}

bool ControlStateImpl::applyCommand(const BalancerJoined &command,
                                    TableChange &change) {
  const std::optional<DataCentreRecord> dataCentre =
      findDataCentre(command.DataCentre);
  if (!dataCentre)
    return false;
  const BalancerRecord record{command.Name, dataCentre->Id, command.Address};
  BalancerRecord &stored = Data.Balancers[command.Name];
  if (stored == record)
    return false;
  stored = record;
  change.Balancers.push_back(command.Name);
  return true;
}

bool ControlStateImpl::applyCommand(const BalancerLeft &command,
                                    TableChange &change) {
  if (Data.Balancers.erase(command.Name) == 0)
    return false;
  change.Balancers.push_back(command.Name);
  return true;
}

std::vector<TableUpdate> ControlStateImpl::delta(Revision have) const {
  const TableChange change = Data.History.changesSince(have);
  TablePartWriter writer(have, Data.Published, false);
  std::map<ServiceId, const ServiceRecord *> services;
  for (const auto &[name, it] : Data.Services)
    services.emplace(it.Id, &it);
  for (const ServiceId id : change.Services) {
    const auto it = services.find(id);
    it == services.end() ? writer.remove(id) : writer.add(*it->second);
  }
  std::map<DataCentreId, const DataCentreRecord *> dataCentres;
  for (const auto &[name, it] : Data.DataCentres)
    dataCentres.emplace(it.Id, &it);
  for (const DataCentreId id : change.DataCentres) {
    const auto it = dataCentres.find(id);
    it == dataCentres.end() ? writer.remove(id) : writer.add(*it->second);
  }
  for (const UpstreamId id : change.Upstreams) {
    const auto it = Data.Upstreams.find(id);
    it == Data.Upstreams.end() ? writer.remove(id)
                               : writer.add(it->second.Record);
  }
  for (const std::string &name : change.Balancers) {
    const auto it = Data.Balancers.find(name);
    it == Data.Balancers.end() ? writer.remove(name) : writer.add(it->second);
  }
  for (const Endpoint &address : change.Routes) {
    const auto it = Data.Routes.find(address);
    it == Data.Routes.end() ? writer.remove(address) : writer.add(it->second);
  }
  return writer.finish();
}

std::vector<TableUpdate> ControlStateImpl::fullTable() const {
  TablePartWriter writer(Revision{}, Data.Published, true);
  for (const auto &[name, it] : Data.Services)
    writer.add(it);
  for (const auto &[name, it] : Data.DataCentres)
    writer.add(it);
  for (const auto &[id, it] : Data.Upstreams)
    writer.add(it.Record);
  for (const auto &[name, it] : Data.Balancers)
    writer.add(it);
  for (const auto &[address, it] : Data.Routes)
    writer.add(it);
  return writer.finish();
}

} // namespace

std::uint32_t coldStartRateMilliPerSecond(const RuleSet &rules,
                                          std::string_view service) {
  const auto services = rules.services();
  const auto it = std::ranges::find(services, service, &ServiceRule::Name);
  if (it == services.end() || !it->ColdStartRequestsPerSecond)
    return UnlimitedColdRate;
  return static_cast<std::uint32_t>(std::min(
      *it->ColdStartRequestsPerSecond * 1000, UnlimitedColdRate - 1.0));
}

std::unique_ptr<ControlState> makeControlState() {
  return std::make_unique<ControlStateImpl>();
}

} // namespace pistachio
