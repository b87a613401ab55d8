#include "src/platform_client.h"

#include <boost/json.hpp>
#include <utility>

#include "src/errors.h"
#include "src/http_client.h"

namespace pimento {
namespace {

namespace json = boost::json;

constexpr const char* kVersionHeader = "x-version";

uint64_t VersionOf(const HttpResult& result) {
  const std::string text = result.Header(kVersionHeader);
  return text.empty() ? 0 : std::stoull(text);
}

void ExpectStatus(const HttpResult& result, const std::string& what) {
  if (result.status == 200) return;
  throw PlatformError("The platform answered " + std::to_string(result.status) +
                      " to " + what + ".");
}

}  // namespace

PlatformClient::PlatformClient(WorkerThread& worker, Metrics& metrics,
                               PlatformOptions options)
    : worker_(worker), metrics_(metrics), options_(std::move(options)) {}

// Runs `work` on the platform's worker thread, converts transport errors to
// PlatformError and keeps `reachable_` up to date.
template <class T>
PlatformClient::Async<T> PlatformClient::Run(std::function<Async<T>()> work) {
  if (partitioned_) {
    co_await Sleep(options_.timeout_ms);
    reachable_ = false;
    throw PlatformError("The platform cannot be reached.");
  }
  std::string failure;
  try {
    T value = co_await RunOn<T>(worker_, std::move(work));
    reachable_ = true;
    co_return value;
  } catch (const TransportError& e) {
    failure = e.what();
  } catch (const boost::system::system_error& e) {
    failure = e.what();
  } catch (const Refusal& e) {
    failure = e.what();
  }
  reachable_ = false;
  metrics_.Add(Counter::kPlatformErrors);
  throw PlatformError(failure);
}

PlatformClient::Async<std::optional<PlatformObject>> PlatformClient::Read(
    std::string name) {
  metrics_.Add(Counter::kPlatformReads);
  std::function<Async<std::optional<PlatformObject>>()> work =
      [this, name]() -> Async<std::optional<PlatformObject>> {
    HttpCall call{.address = options_.address,
                  .target = "/objects/" + name,
                  .idle_timeout_ms = options_.timeout_ms,
                  .total_ms = options_.timeout_ms};
    const HttpResult result = co_await Fetch(std::move(call));
    if (result.status == 404) co_return std::nullopt;
    ExpectStatus(result, "a read of " + name);
    co_return PlatformObject{
        .name = name, .version = VersionOf(result), .body = result.body};
  };
  co_return co_await Run<std::optional<PlatformObject>>(std::move(work));
}

PlatformClient::Async<WriteReply> PlatformClient::Write(std::string name,
                                                        std::string body,
                                                        uint64_t if_version) {
  metrics_.Add(Counter::kPlatformWrites);
  std::function<Async<WriteReply>()> work =
      [this, name, body, if_version]() -> Async<WriteReply> {
    HttpCall call{.address = options_.address,
                  .method = "PUT",
                  .target = "/objects/" + name,
                  .headers = {{"If-Match", std::to_string(if_version)}},
                  .body = body,
                  .idle_timeout_ms = options_.timeout_ms,
                  .total_ms = options_.timeout_ms};
    try {
      const HttpResult result = co_await Fetch(std::move(call));
      if (result.status == 409) {
        co_return WriteReply{.result = WriteResult::kConflict,
                             .version = VersionOf(result)};
      }
      if (result.status == 200) {
        co_return WriteReply{.result = WriteResult::kWritten,
                             .version = VersionOf(result)};
      }
      ExpectStatus(result, "a write of " + name);
    } catch (const TransportError& e) {
      // The write may have taken effect if any byte of it was sent.
      if (!e.sent()) throw;
    }
    co_return WriteReply{};
  };
  co_return co_await Run<WriteReply>(std::move(work));
}

PlatformClient::Async<bool> PlatformClient::Remove(std::string name) {
  metrics_.Add(Counter::kPlatformWrites);
  std::function<Async<bool>()> work = [this, name]() -> Async<bool> {
    HttpCall call{.address = options_.address,
                  .method = "DELETE",
                  .target = "/objects/" + name,
                  .idle_timeout_ms = options_.timeout_ms,
                  .total_ms = options_.timeout_ms};
    const HttpResult result = co_await Fetch(std::move(call));
    co_return result.status == 200;
  };
  co_return co_await Run<bool>(std::move(work));
}

PlatformClient::Async<std::vector<PlatformObject>> PlatformClient::List(
    std::string prefix) {
  metrics_.Add(Counter::kPlatformReads);
  std::function<Async<std::vector<PlatformObject>>()> work =
      [this, prefix]() -> Async<std::vector<PlatformObject>> {
    HttpCall call{.address = options_.address,
                  .target = "/list?prefix=" + prefix,
                  .idle_timeout_ms = options_.timeout_ms,
                  .total_ms = options_.timeout_ms};
    const HttpResult result = co_await Fetch(std::move(call));
    ExpectStatus(result, "a list of " + prefix);
    std::vector<PlatformObject> objects;
    const json::value parsed = json::parse(result.body);
    for (const json::value& item : parsed.as_array()) {
      objects.push_back({.name = item.at("name").as_string().c_str(),
                         .version = item.at("version").to_number<uint64_t>(),
                         .body = {}});
    }
    co_return objects;
  };
  co_return co_await Run<std::vector<PlatformObject>>(std::move(work));
}

PlatformClient::Async<std::optional<PlatformObject>> PlatformClient::Watch(
    std::string name, uint64_t after, int64_t wait_ms) {
  metrics_.Add(Counter::kPlatformReads);
  std::function<Async<std::optional<PlatformObject>>()> work =
      [this, name, after, wait_ms]() -> Async<std::optional<PlatformObject>> {
    const std::string query = "?after=" + std::to_string(after) +
                              "&wait_ms=" + std::to_string(wait_ms);
    HttpCall call{.address = options_.address,
                  .target = "/watch/" + name + query,
                  .idle_timeout_ms = wait_ms + options_.timeout_ms,
                  .total_ms = wait_ms + options_.timeout_ms};
    const HttpResult result = co_await Fetch(std::move(call));
    if (result.status == 204 || result.status == 404) co_return std::nullopt;
    ExpectStatus(result, "a watch of " + name);
    co_return PlatformObject{
        .name = name, .version = VersionOf(result), .body = result.body};
  };
  co_return co_await Run<std::optional<PlatformObject>>(std::move(work));
}

PlatformClient::Async<std::vector<ListedHost>> PlatformClient::Hosts() {
  metrics_.Add(Counter::kPlatformReads);
  std::function<Async<std::vector<ListedHost>>()> work =
      [this]() -> Async<std::vector<ListedHost>> {
    HttpCall call{.address = options_.address,
                  .target = "/hosts",
                  .idle_timeout_ms = options_.timeout_ms,
                  .total_ms = options_.timeout_ms};
    const HttpResult result = co_await Fetch(std::move(call));
    ExpectStatus(result, "the list of hosts");
    std::vector<ListedHost> hosts;
    const json::value parsed = json::parse(result.body);
    for (const json::value& item : parsed.as_array()) {
      hosts.push_back(
          {.host = item.at("host").as_string().c_str(),
           .rpc_address = item.at("rpc_address").as_string().c_str(),
           .leaving = item.at("leaving").as_bool()});
    }
    co_return hosts;
  };
  co_return co_await Run<std::vector<ListedHost>>(std::move(work));
}

PlatformClient::Async<bool> PlatformClient::Register(ListedHost host) {
  metrics_.Add(Counter::kPlatformWrites);
  std::function<Async<bool>()> work = [this, host]() -> Async<bool> {
    const json::object body = {{"rpc_address", host.rpc_address},
                               {"leaving", host.leaving}};
    HttpCall call{.address = options_.address,
                  .method = "PUT",
                  .target = "/hosts/" + host.host,
                  .body = json::serialize(body),
                  .idle_timeout_ms = options_.timeout_ms,
                  .total_ms = options_.timeout_ms};
    const HttpResult result = co_await Fetch(std::move(call));
    co_return result.status == 200;
  };
  co_return co_await Run<bool>(std::move(work));
}

}  // namespace pimento
