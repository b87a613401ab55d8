// A model of one shard for the checker: replicas, owners and claimants that run
// the production decision code, and a network that delays or loses anything.
//
// A message that is never delivered is a lost one; a host whose messages are
// not delivered is a paused one. So delivery order covers loss, delay and
// pause.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/replica.h"
#include "src/shard_protocol.h"

namespace pimento::model {

// Faults put in on purpose. The checker must notice each.
enum class Mutant {
  kNone,
  kIncarnationsIgnored,
  kInstallSkipped,
  kOneSealEnough,
  kDispatchBeforeCount,
  kHeirWithoutOtherSeal,
  kTwoHoldersOfOneEpoch,
};

// How often each kind of event may happen in one history.
struct Budget {
  int platform_claims = 0;
  int heir_claims = 0;
  int consents = 0;
  int replacements = 0;
  int crashes = 0;
  int appends = 2;
};

struct Message {
  int from = 0;
  int to = 0;
  std::variant<SealRequest, SealReply, AppendRequest, AppendReply> body;
  // Which claim or round the reply belongs to, as a call's answer does.
  Epoch epoch;
  int exchange = 0;
  // In a reply: the member that the request was for.
  Member target;
};

class Model {
 public:
  Model(Mutant mutant, Budget budget, int hosts);

  // Number of events that can happen next.
  size_t Choices() const { return choices_.size(); }
  // Lets event `index` happen. Returns what it broke, or "".
  std::string Take(size_t index);
  std::string Describe(size_t index) const;
  // Equal states have equal fingerprints.
  std::string Fingerprint() const;

 private:
  enum class Kind {
    kDeliver,
    kPlatformClaim,
    kHeirClaim,
    kConsent,
    kReplace,
    kAppend,
    kCrash
  };
  struct Choice {
    Kind kind;
    int host;
    size_t message;
  };
  struct Taking {
    Claim claim;
    Epoch epoch;
    bool installing = false;
    MemberList list;
    std::optional<AppendRound> round;
    std::map<std::string, Record> records;
    int exchange = 0;
  };
  struct Owner {
    Epoch epoch;
    MemberList list;
    std::map<std::string, Record> records;
    std::optional<AppendRound> round;
    int exchange = 0;
  };
  struct Host {
    Member member;
    Replica replica;
    std::optional<Taking> taking;
    std::optional<Owner> owner;
  };

  void ListChoices();
  // Drops replies that nobody waits for: they change nothing.
  void DropIdleReplies();
  std::string Deliver(size_t message);
  std::string OnSealReply(int host, const Message& message);
  std::string OnAppendReply(int host, const Message& message);
  std::string Advance(int host);
  std::string Serve(int host);
  std::string Counted(const Record& record);
  std::string Dispatch();
  void StartClaim(int host, Epoch epoch, MemberList known,
                  std::vector<Member> wanted, bool by_platform, bool by_heir);
  void SendSeals(int host);
  // Returns the exchange that the replies will name.
  int SendAppends(int host, const MemberList& list, const Epoch& epoch,
                  const std::vector<Record>& records, bool replace_all);
  int HostOf(const Member& member) const;

  Mutant mutant_;
  Budget budget_;
  std::vector<Host> hosts_;
  std::vector<Message> network_;
  std::vector<Choice> choices_;
  // The platform's ownership object.
  Epoch platform_epoch_;
  MemberList platform_list_;
  // Records that somebody was told of, with the epoch that told.
  std::map<std::string, Epoch> told_;
  int dispatches_ = 0;
  int exchanges_ = 0;
};

}  // namespace pimento::model
