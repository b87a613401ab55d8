#include "src/config_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "src/errors.h"
#include "src/log.h"
#include "src/peer_client.h"
#include "src/worker_thread.h"

namespace pimento {
namespace {

const Log kLog("config");

constexpr int64_t kRetryMs = 300;

}  // namespace

ConfigWatch::ConfigWatch(SchedulerContext& context, ConfigWatchOptions options)
    : context_(context), options_(std::move(options)) {}

void ConfigWatch::Start() {
  Spawn(*context_.shards_io, "config", PlatformLoop());
  Spawn(*context_.shards_io, "config", PeerLoop());
}

DocumentReply ConfigWatch::Latest() const {
  const auto environment = context_.environment.load();
  return {.generation = environment->generation,
          .environment = environment->environment,
          .text = environment->text};
}

bool ConfigWatch::Offer(const DocumentReply& document) {
  const auto present = context_.environment.load();
  const bool newer = document.generation > present->generation;
  if (!newer || document.environment != options_.environment) return false;
  auto next = std::make_shared<EnvironmentState>();
  try {
    next->document =
        Document::Parse(document.text, "environment/" + document.environment);
  } catch (const UserError& e) {
    kLog.Error() << "Generation " << document.generation
                 << " is not usable: " << e.what();
    return false;
  }
  // The number of shards is part of every program's name.
  const bool resized = present->generation != 0 &&
                       present->document.shards != next->document.shards;
  if (resized) {
    kLog.Error() << "Generation " << document.generation
                 << " changes the number of shards.";
    return false;
  }
  next->generation = document.generation;
  next->environment = document.environment;
  next->text = document.text;
  context_.environment =
      std::shared_ptr<const EnvironmentState>(std::move(next));
  kLog.Info() << "Generation " << document.generation << " is in force.";
  return true;
}

// The first hosts of each zone, by name, hold the watch.
bool ConfigWatch::HoldsWatch() const {
  const auto view = context_.view.load();
  size_t before = 0;
  for (const HostNews& news : view->hosts()) {
    const bool peer = news.info.zone == context_.zone &&
                      news.state == HostState::kAlive &&
                      news.info.host < context_.self.host;
    if (peer) ++before;
  }
  return before < options_.watchers_per_zone;
}

boost::asio::awaitable<void> ConfigWatch::PlatformLoop() {
  // A watch that fails may have gone silent; a plain read then covers the gap.
  bool watch_failed = false;
  for (;;) {
    const bool watches = HoldsWatch() && !watch_failed;
    bool failed = false;
    try {
      co_await LookOnce(watches);
    } catch (const std::exception& e) {
      kLog.Debug() << "The document cannot be read: " << e.what();
      failed = true;
    }
    watch_failed = watches && failed;
    if (failed && !watches) co_await Sleep(kRetryMs);
    if (!watches && !HoldsWatch()) co_await Sleep(options_.poll_ms);
  }
}

// Waits for a newer document at the platform, or reads the present one.
boost::asio::awaitable<void> ConfigWatch::LookOnce(bool watch) {
  const std::string name = GenerationName(options_.environment);
  std::optional<PlatformObject> object;
  if (watch) {
    object = co_await context_.platform->Watch(name, seen_version_,
                                               options_.watch_ms);
  } else {
    object = co_await context_.platform->Read(name);
  }
  if (!object) co_return;
  seen_version_ = object->version;
  const Generation generation = DecodeGeneration(object->body);
  Offer({.generation = generation.generation,
         .environment = generation.environment,
         .text = generation.text});
}

boost::asio::awaitable<void> ConfigWatch::PeerLoop() {
  for (;;) {
    co_await Sleep(options_.gossip_ms);
    const auto view = context_.view.load();
    const uint64_t present = context_.environment.load()->generation;
    std::string address;
    uint64_t best = present;
    for (const HostNews& news : view->hosts()) {
      if (news.state == HostState::kDead || news.info.generation <= best)
        continue;
      best = news.info.generation;
      address = news.info.rpc_address;
    }
    if (address.empty()) continue;
    try {
      const DocumentReply document = co_await context_.peers->Document(
          address, present, 0, context_.timing.rpc_ms);
      Offer(document);
    } catch (const TransportError&) {
      // Another peer, or the platform, has it too.
    }
  }
}

}  // namespace pimento
