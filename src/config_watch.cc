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

constexpr int64_t kRetryDelayMs = 300;

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

bool ConfigWatch::ApplyIfNewer(const DocumentReply& document) {
  const auto current = context_.environment.load();
  const bool newer = document.generation > current->generation;
  if (!newer || document.environment != options_.environment) return false;
  auto next = std::make_shared<EnvironmentState>();
  try {
    next->document =
        Document::Parse(document.text, "environment/" + document.environment);
  } catch (const UserError& e) {
    kLog.Error() << "Generation " << document.generation
                 << " of the document is not valid: " << e.what();
    return false;
  }
  // Program names contain their shard, so the number of shards must not change.
  const bool resized = current->generation != 0 &&
                       current->document.shards != next->document.shards;
  if (resized) {
    kLog.Error() << "Generation " << document.generation
                 << " of the document was rejected: it changes the number of "
                    "shards.";
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

// The first live hosts of each zone, ordered by name, watch.
bool ConfigWatch::IsWatcher() const {
  const auto view = context_.view.load();
  size_t before = 0;
  for (const HostGossip& host : view->hosts()) {
    const bool peer = host.info.zone == context_.zone &&
                      host.state == HostState::kAlive &&
                      host.info.host < context_.self.host;
    if (peer) ++before;
  }
  return before < options_.watchers_per_zone;
}

boost::asio::awaitable<void> ConfigWatch::PlatformLoop() {
  // A watch that failed may have missed a change, so the next request is a
  // plain read.
  bool watch_failed = false;
  for (;;) {
    const bool watches = IsWatcher() && !watch_failed;
    bool failed = false;
    try {
      co_await ReadFromPlatform(watches);
    } catch (const std::exception& e) {
      kLog.Debug() << "The document cannot be read: " << e.what();
      failed = true;
    }
    watch_failed = watches && failed;
    if (failed && !watches) co_await Sleep(kRetryDelayMs);
    if (!watches && !IsWatcher()) co_await Sleep(options_.poll_interval_ms);
  }
}

boost::asio::awaitable<void> ConfigWatch::ReadFromPlatform(bool watch) {
  const std::string name = GenerationName(options_.environment);
  std::optional<PlatformObject> object;
  if (watch) {
    object = co_await context_.platform->Watch(name, seen_version_,
                                               options_.watch_timeout_ms);
  } else {
    object = co_await context_.platform->Read(name);
  }
  if (!object) co_return;
  seen_version_ = object->version;
  const Generation generation = DecodeGeneration(object->body);
  ApplyIfNewer({.generation = generation.generation,
                .environment = generation.environment,
                .text = generation.text});
}

boost::asio::awaitable<void> ConfigWatch::PeerLoop() {
  for (;;) {
    co_await Sleep(options_.peer_check_interval_ms);
    const auto view = context_.view.load();
    const uint64_t current = context_.environment.load()->generation;
    std::string address;
    uint64_t best = current;
    for (const HostGossip& host : view->hosts()) {
      if (host.state == HostState::kDead || host.info.generation <= best)
        continue;
      best = host.info.generation;
      address = host.info.rpc_address;
    }
    if (address.empty()) continue;
    try {
      const DocumentReply document = co_await context_.peers->Document(
          address, current, 0, context_.timing.rpc_timeout_ms);
      ApplyIfNewer(document);
    } catch (const TransportError&) {
      // Retried after the interval; another peer or the platform has it too.
    }
  }
}

}  // namespace pimento
