#include "bench/lib/upstream_keeper.h"

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "src/boot_clock.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

constexpr int64_t kPollIntervalMs = 5;
constexpr int kStartTries = 400;
// Ids in the store of upstream 0 of each service, apart from those of the
// fleet's own upstreams.
constexpr int kFirstTalkId = 500;
constexpr int kFirstDeskId = 600;

void Pause(int64_t time_ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time_ms));
}

}  // namespace

UpstreamKeeper::UpstreamKeeper(PlatformFleet& fleet, Options options)
    : fleet_(fleet),
      options_(std::move(options)),
      thread_([this] { Keep(); }) {}

UpstreamKeeper::~UpstreamKeeper() {
  stopping_ = true;
  thread_.join();
}

std::string UpstreamKeeper::LogFile(const std::string& name) const {
  return options_.dir + "/" + name + ".runs";
}

void UpstreamKeeper::Start(const std::string& name,
                           const std::string& switches) {
  const int number = std::stoi(name.substr(name.find('-') + 1));
  const std::lock_guard lock(mutex_);
  Upstream& upstream = upstreams_[name];
  upstream.address = fleet_.UpstreamAddress(name);
  upstream.switches = switches;
  upstream.id =
      number + (name.starts_with("talk") ? kFirstTalkId : kFirstDeskId);
  Launch(name, upstream);
}

void UpstreamKeeper::Launch(const std::string& name, Upstream& upstream) {
  ++upstream.born;
  upstream.back_at_ms = 0;
  json::object switches = json::parse(upstream.switches).as_object();
  switches["id"] = upstream.id;
  switches["born"] = upstream.born;
  switches["log_runs"] = true;
  processes_.Start(
      name, options_.bin_dir + "/standin-model-server",
      {"--listen", upstream.address, "--faults", json::serialize(switches)},
      LogFile(name));
  for (int i = 0; !fleet_.Answers(upstream.address); ++i, Pause(5)) {
    if (i == kStartTries)
      throw std::runtime_error("The upstream " + name + " did not start.");
  }
  upstream.registered = false;
  Register(name, upstream);
}

void UpstreamKeeper::Register(const std::string& name, Upstream& upstream) {
  try {
    fleet_.RegisterUpstream(upstream.id, name.substr(0, name.find('-')),
                            upstream.address, 8, upstream.born);
    upstream.registered = true;
  } catch (const std::runtime_error&) {
    // The store is down: Keep() tries again.
  }
}

void UpstreamKeeper::NoteEnd(Upstream& upstream) {
  ++ends_;
  upstream.back_at_ms = SteadyMs() + options_.back_ms;
}

void UpstreamKeeper::Crash(const std::string& name) {
  const std::lock_guard lock(mutex_);
  if (!processes_.Running(name)) return;
  processes_.Kill(name);
  ++crashed_by_test_;
  NoteEnd(upstreams_.at(name));
}

void UpstreamKeeper::Keep() {
  for (; !stopping_; Pause(kPollIntervalMs)) {
    const std::lock_guard lock(mutex_);
    for (auto& [name, upstream] : upstreams_) {
      if (upstream.back_at_ms == 0 && !processes_.Running(name))
        NoteEnd(upstream);
      if (upstream.back_at_ms > 0 && SteadyMs() >= upstream.back_at_ms)
        Launch(name, upstream);
      else if (upstream.back_at_ms == 0 && !upstream.registered)
        Register(name, upstream);
    }
  }
}

size_t UpstreamKeeper::running() {
  const std::lock_guard lock(mutex_);
  return static_cast<size_t>(std::count_if(
      upstreams_.begin(), upstreams_.end(),
      [](const auto& item) { return item.second.back_at_ms == 0; }));
}

std::vector<UpstreamKeeper::Run> UpstreamKeeper::Runs() const {
  const std::lock_guard lock(mutex_);
  std::vector<Run> runs;
  for (const auto& [name, upstream] : upstreams_) {
    std::ifstream in(LogFile(name));
    for (std::string line; std::getline(in, line);) {
      if (!line.starts_with("{")) continue;
      const json::value run = json::parse(line);
      runs.push_back({.upstream = name,
                      .born = run.at("born").to_number<int64_t>(),
                      .id = std::string(run.at("id").as_string()),
                      .path = std::string(run.at("path").as_string()),
                      .deadly = run.at("deadly").as_bool(),
                      .at_ms = run.at("at_ms").to_number<int64_t>()});
    }
  }
  std::sort(runs.begin(), runs.end(),
            [](const Run& a, const Run& b) { return a.at_ms < b.at_ms; });
  return runs;
}

}  // namespace pimento::testbed
