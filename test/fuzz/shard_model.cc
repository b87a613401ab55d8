#include "test/fuzz/shard_model.h"

#include <algorithm>
#include <sstream>

namespace pimento::model {
namespace {

constexpr const char* kOperation = "x";

std::string Text(const Epoch& epoch) {
  return std::to_string(epoch.major) + "." + std::to_string(epoch.minor);
}

std::string Text(const Member& member) {
  return member.host + std::to_string(member.boot);
}

std::string Text(const MemberList& list) {
  std::string text = Text(list.since) + "[";
  for (const Member& member : list.members) text += Text(member);
  return text + "]";
}

std::string Text(const std::map<std::string, Record>& records) {
  std::string text;
  for (const auto& [key, record] : records) {
    text += key + Text(record.epoch) + "v" + std::to_string(record.version);
  }
  return text;
}

std::string Text(const std::vector<Record>& records) {
  std::string text;
  for (const Record& record : records) text += record.key + Text(record.epoch);
  return text;
}

std::string Text(const SealRequest& r) {
  return "S" + Text(r.epoch) + Text(r.holder) + Text(r.target) + Text(r.list) +
         (r.granted_by_platform ? "p" : "");
}
std::string Text(const SealReply& r) {
  std::string text = "s" + std::to_string(r.accepted) + Text(r.sealed) +
                     Text(r.list) + Text(r.records);
  for (const MemberList& list : r.proposals) text += Text(list);
  return text;
}
std::string Text(const AppendRequest& r) {
  return "A" + Text(r.epoch) + Text(r.holder) + Text(r.target) + Text(r.list) +
         Text(r.records) + (r.replace_all ? "r" : "") +
         std::to_string(r.number);
}
std::string Text(const AppendReply& r) {
  return "a" + std::to_string(r.accepted) + Text(r.sealed);
}

ReplicaRules RulesFor(Mutant mutant) {
  return {.check_incarnation = mutant != Mutant::kIncarnationsIgnored,
          .check_holder = mutant != Mutant::kTwoHoldersOfOneEpoch,
          .check_heir = true};
}

}  // namespace

Model::Model(Mutant mutant, Budget budget, int hosts)
    : mutant_(mutant), budget_(budget) {
  for (int i = 0; i < hosts; ++i) {
    const Member member{.host = std::string(1, static_cast<char>('A' + i)),
                        .boot = 1};
    hosts_.push_back({.member = member,
                      .replica = Replica(member, RulesFor(mutant)),
                      .taking = std::nullopt,
                      .owner = std::nullopt});
  }
  const Epoch first{.major = 1, .minor = 0};
  const MemberList list{
      .since = first,
      .members = {hosts_[0].member, hosts_[1].member, hosts_[2].member}};
  platform_epoch_ = first;
  platform_list_ = list;
  for (int i = 0; i < 3; ++i) {
    hosts_[i].replica.Append({.shard = 0,
                              .epoch = first,
                              .holder = hosts_[0].member,
                              .target = hosts_[i].member,
                              .list = list,
                              .records = {}});
  }
  hosts_[0].owner =
      Owner{.epoch = first, .list = list, .records = {}, .round = std::nullopt};
  ListChoices();
}

int Model::HostOf(const Member& member) const {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].member.host == member.host) return static_cast<int>(i);
  }
  return 0;
}

void Model::ListChoices() {
  choices_.clear();
  for (size_t i = 0; i < network_.size(); ++i) {
    choices_.push_back({Kind::kDeliver, network_[i].to, i});
  }
  for (int i = 0; i < static_cast<int>(hosts_.size()); ++i) {
    const Host& host = hosts_[i];
    const MemberList& list = host.replica.list();
    const bool idle = !host.taking && !host.owner;
    const bool member = std::find(list.members.begin(), list.members.end(),
                                  host.member) != list.members.end();
    if (budget_.platform_claims > 0 && idle && i > 0) {
      choices_.push_back({Kind::kPlatformClaim, i, 0});
    }
    const bool heir = member && list.members[1] == host.member;
    if (budget_.heir_claims > 0 && idle && heir) {
      choices_.push_back({Kind::kHeirClaim, i, 0});
    }
    const bool serving = host.owner && !host.owner->round && !host.taking;
    if (budget_.consents > 0 && serving) {
      choices_.push_back({Kind::kConsent, i, 0});
    }
    if (budget_.replacements > 0 && serving && hosts_.size() > 3) {
      choices_.push_back({Kind::kReplace, i, 0});
    }
    const bool wants = host.owner &&
                       !host.owner->records.contains(kOperation) &&
                       !host.owner->round && !host.taking;
    if (budget_.appends > 0 && wants) {
      choices_.push_back({Kind::kAppend, i, 0});
    }
    if (budget_.crashes > 0) choices_.push_back({Kind::kCrash, i, 0});
  }
}

void Model::DropIdleReplies() {
  std::erase_if(network_, [this](const Message& message) {
    const Host& host = hosts_[message.to];
    if (std::holds_alternative<SealReply>(message.body)) {
      return !host.taking || host.taking->installing ||
             host.taking->epoch != message.epoch;
    }
    if (!std::holds_alternative<AppendReply>(message.body)) return false;
    const bool installs = host.taking && host.taking->installing &&
                          host.taking->exchange == message.exchange;
    const bool appends = host.owner && host.owner->round &&
                         host.owner->exchange == message.exchange;
    return !installs && !appends;
  });
}

std::string Model::Describe(size_t index) const {
  constexpr const char* kNames[] = {"deliver", "platform claim", "heir claim",
                                    "consent", "replace",        "append",
                                    "crash"};
  const Choice& choice = choices_[index];
  std::string text = kNames[static_cast<size_t>(choice.kind)];
  text += " " + hosts_[choice.host].member.host;
  if (choice.kind == Kind::kDeliver) {
    text += " " + std::visit([](const auto& body) { return Text(body); },
                             network_[choice.message].body);
  }
  return text;
}

std::string Model::Take(size_t index) {
  const Choice choice = choices_[index];
  Host& host = hosts_[choice.host];
  std::string broken;
  switch (choice.kind) {
    case Kind::kDeliver:
      broken = Deliver(choice.message);
      break;
    case Kind::kPlatformClaim: {
      --budget_.platform_claims;
      platform_epoch_ = {
          .major =
              std::max(platform_epoch_.major, host.replica.sealed().major) + 1,
          .minor = 0};
      MemberList known = platform_list_;
      if (host.replica.list().since > known.since) known = host.replica.list();
      StartClaim(choice.host, platform_epoch_, known, {}, true, false);
      break;
    }
    case Kind::kHeirClaim: {
      --budget_.heir_claims;
      const Epoch sealed = host.replica.sealed();
      StartClaim(choice.host,
                 {.major = sealed.major, .minor = sealed.minor + 1},
                 host.replica.list(), {}, false, true);
      break;
    }
    case Kind::kConsent: {
      --budget_.consents;
      const Owner owner = *host.owner;
      const int to = HostOf(owner.list.members.back());
      if (to == choice.host || hosts_[to].taking) break;
      host.replica.ConsentTo(hosts_[to].member);
      StartClaim(to,
                 {.major = owner.epoch.major, .minor = owner.epoch.minor + 1},
                 owner.list, {}, false, false);
      break;
    }
    case Kind::kReplace: {
      --budget_.replacements;
      // The second member makes room for the host that is no member.
      const Owner owner = *host.owner;
      std::vector<Member> wanted = {host.member};
      for (const Host& other : hosts_) {
        const bool out = other.member == owner.list.members[1];
        if (other.member != host.member && !out && wanted.size() < 3) {
          wanted.push_back(other.member);
        }
      }
      host.owner.reset();
      StartClaim(choice.host,
                 {.major = owner.epoch.major, .minor = owner.epoch.minor + 1},
                 owner.list, wanted, false, false);
      break;
    }
    case Kind::kAppend: {
      --budget_.appends;
      Owner& owner = *host.owner;
      const Record record{.key = kOperation,
                          .epoch = owner.epoch,
                          .version = 1,
                          .value = "intent"};
      owner.round.emplace(owner.list);
      owner.exchange =
          SendAppends(choice.host, owner.list, owner.epoch, {record}, false);
      if (mutant_ == Mutant::kDispatchBeforeCount) broken = Dispatch();
      break;
    }
    case Kind::kCrash: {
      --budget_.crashes;
      ++host.member.boot;
      host.replica = Replica(host.member, RulesFor(mutant_));
      host.taking.reset();
      host.owner.reset();
      break;
    }
  }
  DropIdleReplies();
  ListChoices();
  return broken;
}

void Model::StartClaim(int index, Epoch epoch, MemberList known,
                       std::vector<Member> wanted, bool by_platform,
                       bool by_heir) {
  const bool weak = mutant_ == Mutant::kOneSealEnough ||
                    (mutant_ == Mutant::kHeirWithoutOtherSeal && by_heir);
  ClaimOptions options{.shard = 0,
                       .self = hosts_[index].member,
                       .epoch = epoch,
                       .known = std::move(known),
                       .wanted = std::move(wanted),
                       .granted_by_platform = by_platform,
                       .quorum = weak ? size_t{1} : kQuorum};
  hosts_[index].taking = Taking{.claim = Claim(std::move(options)),
                                .epoch = epoch,
                                .list = {},
                                .round = std::nullopt,
                                .records = {}};
  SendSeals(index);
}

void Model::SendSeals(int index) {
  std::vector<SealRequest> requests =
      hosts_[index].taking->claim.TakeRequests();
  for (const SealRequest& request : requests) {
    network_.push_back(
        {index, HostOf(request.target), request, request.epoch, 0, {}});
  }
}

int Model::SendAppends(int index, const MemberList& list, const Epoch& epoch,
                       const std::vector<Record>& records, bool replace_all) {
  ++exchanges_;
  for (const AppendRequest& request :
       MakeAppends(0, epoch, hosts_[index].member, list, records, replace_all,
                   replace_all ? 0 : 1)) {
    network_.push_back(
        {index, HostOf(request.target), request, epoch, exchanges_, {}});
  }
  return exchanges_;
}

std::string Model::Deliver(size_t index) {
  const Message message = network_[index];
  network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(index));
  Host& host = hosts_[message.to];
  if (const auto* seal = std::get_if<SealRequest>(&message.body)) {
    const SealReply reply = host.replica.Seal(*seal);
    // An owner sees at once that its own replica follows another.
    if (reply.accepted && host.owner && seal->holder != host.member) {
      host.owner.reset();
    }
    network_.push_back(
        {message.to, message.from, reply, message.epoch, 0, seal->target});
    return "";
  }
  if (const auto* append = std::get_if<AppendRequest>(&message.body)) {
    const AppendReply reply = host.replica.Append(*append);
    network_.push_back({message.to, message.from, reply, message.epoch,
                        message.exchange, append->target});
    return "";
  }
  if (std::holds_alternative<SealReply>(message.body)) {
    return OnSealReply(message.to, message);
  }
  return OnAppendReply(message.to, message);
}

std::string Model::OnSealReply(int index, const Message& message) {
  Host& host = hosts_[index];
  if (!host.taking || host.taking->epoch != message.epoch) return "";
  if (host.taking->installing) return "";
  host.taking->claim.OnReply(message.target, std::get<SealReply>(message.body));
  return Advance(index);
}

std::string Model::OnAppendReply(int index, const Message& message) {
  Host& host = hosts_[index];
  const auto& reply = std::get<AppendReply>(message.body);
  const Member from = message.target;
  if (host.taking && host.taking->installing &&
      host.taking->exchange == message.exchange) {
    host.taking->round->OnReply(from, reply, message.epoch);
    return Advance(index);
  }
  if (!host.owner || !host.owner->round ||
      host.owner->exchange != message.exchange) {
    return "";
  }
  Owner& owner = *host.owner;
  owner.round->OnReply(from, reply, message.epoch);
  if (owner.round->Fenced()) {
    host.owner.reset();
    return "";
  }
  if (!owner.round->Counted()) return "";
  owner.round.reset();
  const Record record{
      .key = kOperation, .epoch = owner.epoch, .version = 1, .value = "intent"};
  owner.records[kOperation] = record;
  const std::string lost = Counted(record);
  if (!lost.empty() || mutant_ == Mutant::kDispatchBeforeCount) return lost;
  return Dispatch();
}

std::string Model::Advance(int index) {
  Host& host = hosts_[index];
  Taking& taking = *host.taking;
  if (taking.installing) {
    if (taking.round->Fenced()) {
      host.taking.reset();
      return "";
    }
    return taking.round->Counted() ? Serve(index) : "";
  }
  if (taking.claim.Lost()) {
    host.taking.reset();
    return "";
  }
  if (!taking.claim.Sealed()) {
    SendSeals(index);
    return "";
  }
  taking.list = taking.claim.NewList();
  taking.records = taking.claim.records();
  if (mutant_ == Mutant::kInstallSkipped) return Serve(index);
  taking.installing = true;
  taking.round.emplace(taking.list);
  std::vector<Record> all;
  for (const auto& [key, record] : taking.records) all.push_back(record);
  taking.exchange = SendAppends(index, taking.list, taking.epoch, all, true);
  return "";
}

// A claimant starts to answer callers: what it knows is told from now on.
std::string Model::Serve(int index) {
  Host& host = hosts_[index];
  host.owner = Owner{.epoch = host.taking->epoch,
                     .list = host.taking->list,
                     .records = host.taking->records,
                     .round = std::nullopt};
  host.taking.reset();
  const Owner& owner = *host.owner;
  for (const auto& [key, epoch] : told_) {
    const bool earlier = epoch < owner.epoch;
    if (earlier && !owner.records.contains(key)) {
      return "the owner at " + Text(owner.epoch) + " misses " + key +
             ", told at " + Text(epoch);
    }
  }
  for (const auto& [key, record] : owner.records) {
    told_.emplace(key, owner.epoch);
  }
  return "";
}

std::string Model::Counted(const Record& record) {
  told_.emplace(record.key, record.epoch);
  for (const Host& host : hosts_) {
    const bool later = host.owner && host.owner->epoch > record.epoch;
    if (later && !host.owner->records.contains(record.key)) {
      return "a stale owner counted " + record.key + " at " +
             Text(record.epoch) + " behind the back of " +
             Text(host.owner->epoch);
    }
  }
  return "";
}

std::string Model::Dispatch() {
  ++dispatches_;
  return dispatches_ > 1 ? "the operation was dispatched twice" : "";
}

std::string Model::Fingerprint() const {
  std::ostringstream text;
  for (const Host& host : hosts_) {
    text << "|" << Text(host.member) << Text(host.replica.sealed())
         << Text(host.replica.holder()) << Text(host.replica.list())
         << Text(host.replica.records());
    for (const MemberList& list : host.replica.proposals()) text << Text(list);
    if (host.taking) {
      const Taking& taking = *host.taking;
      text << "T" << taking.exchange << Text(taking.epoch) << taking.installing
           << Text(taking.claim.NewList()) << Text(taking.claim.records())
           << taking.claim.Progress();
      if (taking.round) {
        for (const Member& m : taking.round->holders()) text << Text(m);
      }
    }
    if (host.owner) {
      text << "O" << Text(host.owner->epoch) << Text(host.owner->list)
           << Text(host.owner->records);
      if (host.owner->round) {
        text << "R" << host.owner->exchange;
        for (const Member& m : host.owner->round->holders()) text << Text(m);
      }
    }
  }
  std::vector<std::string> messages;
  for (const Message& message : network_) {
    messages.push_back(
        std::to_string(message.from) + std::to_string(message.to) +
        Text(message.epoch) + Text(message.target) + "#" +
        std::to_string(message.exchange) +
        std::visit([](const auto& body) { return Text(body); }, message.body));
  }
  std::sort(messages.begin(), messages.end());
  for (const std::string& message : messages) text << "~" << message;
  text << "P" << Text(platform_epoch_) << "D" << dispatches_;
  for (const auto& [key, epoch] : told_) text << key << Text(epoch);
  text << budget_.platform_claims << budget_.heir_claims << budget_.consents
       << budget_.replacements << budget_.crashes << budget_.appends;
  return text.str();
}

}  // namespace pimento::model
