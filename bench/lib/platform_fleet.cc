// Processes, settings, configuration and requests of the platform fleet.
#include "bench/lib/platform_fleet.h"

#include <boost/algorithm/string.hpp>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "platform/url_text.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr int kCallerPort = 18'368;
constexpr int kReadyPort = 18'369;
constexpr int kDirectoryPort = 18'360;
// Start of the `port_range` setting.
constexpr int kFirstPort = 17'780;
constexpr int kMetricsPort = 9'464;
constexpr int kStorePort = 18'362;
constexpr int kUpstreamPort = 18'080;
constexpr int kProxyPort = 18'900;
constexpr int64_t kStartTimeoutMs = 20'000;
constexpr int64_t kPollIntervalMs = 30;
constexpr int64_t kStandInTimeoutMs = 2'000;

json::object RouteSpec(const std::string& name, const std::string& kind,
                       const std::string& service) {
  return {
      {"name", name},  {"host", "x.example"}, {"path_prefix", "/" + name + "/"},
      {"kind", kind},  {"service", service},  {"timeout_ms", 3'000},
      {"slo_ms", 200}, {"attempts", 2},       {"retain_s", 60.0}};
}

// The configuration in the store: its routes, services, limits and tenants.
json::object StateSpec(int64_t version, const std::vector<std::string>& keys,
                       const PlatformFleet::Options& options) {
  json::object kept = RouteSpec("kept", "streaming", "talk");
  kept["keep_context"] = true;
  kept["sticky"] = true;
  json::object resumed = RouteSpec("resumed", "streaming", "talk");
  resumed["can_resume"] = true;
  json::object open = RouteSpec("open", "idempotent", "desk");
  open["anonymous"] = true;
  json::array key_list;
  for (const std::string& key : keys) key_list.emplace_back(key);
  return {{"version", version},
          {"routes",
           {kept, resumed, open, RouteSpec("status", "idempotent", "desk"),
            RouteSpec("charge", "non_idempotent", "desk")}},
          {"services",
           {{{"name", "talk"}, {"engine", {{"chunk_tokens", 12}}}},
            {{"name", "desk"}}}},
          {"limits",
           {{"max_header_bytes", 8'192},
            {"max_body_bytes", options.max_body_bytes},
            {"header_timeout_ms", 600},
            {"idle_timeout_ms", options.idle_timeout_ms}}},
          {"tenants",
           {{{"name", "quilters"}, {"api_keys", key_list}},
            {{"name", "others"}, {"api_keys", {"key-of-others"}}}}}};
}

std::string ObjectTarget(const std::string& kind, const std::string& name) {
  return "/-/objects/" + kind + "/" + platform::EscapeForUrl(name);
}

// Polls `condition` until it is true; throws after about `limit_ms`.
template <class Condition>
void WaitFor(int64_t limit_ms, const std::string& what, Condition condition) {
  for (int64_t waited = 0; waited < limit_ms; waited += kPollIntervalMs) {
    if (condition()) return;
    std::this_thread::sleep_for(milliseconds(kPollIntervalMs));
  }
  throw std::runtime_error("Waiting for " + what + " timed out after " +
                           std::to_string(limit_ms) + " ms.");
}

}  // namespace

PlatformFleet::PlatformFleet(const std::string& bin_dir, const std::string& dir,
                             Options options)
    : bin_dir_(bin_dir), dir_(dir), options_(options) {
  std::filesystem::remove_all(dir_);
  std::filesystem::create_directories(dir_);
  addresses_["store"] = HostAddress("store", kStorePort);
  processes_.Start("store", bin_dir_ + "/standin-object-store",
                   {"--listen", addresses_["store"]}, dir_ + "/store.log");
  WaitFor(kStartTimeoutMs, "the object store", [this] {
    return SendTo(addresses_["store"], {.method = "GET", .target = "/healthz"})
               .status == 200;
  });
  PutState(1, {key_});
  for (int i = 0; i < options_.streaming_upstreams; ++i)
    StartUpstream("talk-" + std::to_string(i), 100 + i);
  for (int i = 0; i < options_.plain_upstreams; ++i)
    StartUpstream("desk-" + std::to_string(i), 200 + i);
  for (int i = 0; i < options_.archives; ++i)
    StartHost("archive-" + std::to_string(i), true);
  for (int i = 0; i < options_.gateways; ++i)
    StartHost("gateway-" + std::to_string(i), true);
  WaitUntilReady(kStartTimeoutMs);
}

int PlatformFleet::HostNumber(const std::string& name) const {
  const size_t dash = name.find('-');
  const int index =
      dash == std::string::npos ? 0 : std::stoi(name.substr(dash + 1));
  constexpr int kMaxOfKind = 30;
  const std::vector<std::string> kinds = {"store", "gateway", "archive", "talk",
                                          "desk"};
  for (size_t i = 0; i < kinds.size(); ++i) {
    if (name.starts_with(kinds[i]))
      return static_cast<int>(i) * kMaxOfKind + index + 1;
  }
  throw std::runtime_error("There is no host or stand-in named " + name + ".");
}

std::string PlatformFleet::HostAddress(const std::string& name,
                                       int port) const {
  return "127." + std::to_string(fleet_number_.value()) + "." +
         std::to_string(HostNumber(name)) + ".1:" + std::to_string(port);
}

void PlatformFleet::StartUpstream(const std::string& name, int id) {
  addresses_[name] = HostAddress(name, kUpstreamPort);
  processes_.Start(name, bin_dir_ + "/standin-model-server",
                   {"--listen", addresses_[name], "--faults",
                    "{\"id\":" + std::to_string(id) + "}"},
                   dir_ + "/" + name + ".log");
  const std::string service = name.substr(0, name.find('-'));
  std::string registered = addresses_[name];
  if (options_.proxied) {
    registered = HostAddress(name, kProxyPort);
    proxies_[name] = std::make_unique<FaultProxy>(registered, addresses_[name]);
  }
  RegisterUpstream(id, service, registered);
}

std::string PlatformFleet::UpstreamAddress(const std::string& name) const {
  return HostAddress(name, kUpstreamPort);
}

bool PlatformFleet::Answers(const std::string& address) {
  return SendTo(address,
                {.method = "GET", .target = "/healthz", .limit_ms = 500})
             .status == 200;
}

void PlatformFleet::RegisterUpstream(int id, const std::string& service,
                                     const std::string& address, int64_t slots,
                                     int64_t born, const std::string& version) {
  const json::object spec = {{"service", service},
                             {"addr", address},
                             {"zone", "zone-" + std::to_string(id % 3)},
                             {"version", version},
                             {"slots", slots},
                             {"state", "ready"},
                             {"cold_left_ms", 0},
                             {"sequence", 1},
                             {"born", born}};
  PutObject("servers", std::to_string(id), json::serialize(spec));
}

void PlatformFleet::WriteSettings(const std::string& name, bool first_start) {
  std::string store = addresses_["store"];
  if (options_.proxied) {
    store = HostAddress(name, kProxyPort);
    if (!proxies_.contains(name))
      proxies_[name] = std::make_unique<FaultProxy>(store, addresses_["store"]);
  }
  std::ofstream out(dir_ + "/" + name + ".conf");
  const std::string ip = HostAddress(name, 0);
  out << "node=" << name << "\n"
      << "ip=" << ip.substr(0, ip.find(':')) << "\n"
      << "zone=zone-" << HostNumber(name) % options_.zones << "\n"
      << "listen.front=" << HostAddress(name, kCallerPort) << "\n"
      << "listen.ready=" << HostAddress(name, kReadyPort) << "\n"
      << "listen.directory=" << HostAddress(name, kDirectoryPort) << "\n"
      << "port_range=" << kFirstPort << "," << kFirstPort + 15 << "\n"
      << "bootstrap=" << (first_start ? "true" : "false") << "\n"
      << "data_dir=" << DataDir(name) << "\n"
      << "tolerate.machines=" << options_.tolerated_losses << "\n"
      << "platform.addr=" << (store_of_hosts_.empty() ? store : store_of_hosts_)
      << "\n"
      << "bounds.grace_s=4\n"
      << "bounds.revoke_ms=" << options_.revoke_ms << "\n";
  if (options_.memory_mb > 0)
    out << "limits.memory_mb=" << options_.memory_mb << "\n";
  if (options_.max_fds > 0)
    out << "limits.max_fds=" << options_.max_fds << "\n";
}

void PlatformFleet::StartHost(const std::string& name, bool first_start) {
  WriteSettings(name, first_start);
  const std::string program = name.substr(0, name.find('-'));
  const std::vector<std::string> arguments = program == "gateway"
                                                 ? options_.gateway_arguments
                                                 : std::vector<std::string>{};
  processes_.Start(name, bin_dir_ + "/pimento-" + program, arguments,
                   dir_ + "/" + name + ".log",
                   {{"PIMENTOPULLEY_SETTINGS", dir_ + "/" + name + ".conf"}});
}

std::string PlatformFleet::DataDir(const std::string& name) const {
  return dir_ + "/" + name + ".data";
}

void PlatformFleet::WipeDisk(const std::string& name) {
  std::filesystem::remove_all(DataDir(name));
}

bool PlatformFleet::Ready(int gateway) {
  const std::string name = "gateway-" + std::to_string(gateway);
  return SendTo(HostAddress(name, kReadyPort),
                {.method = "GET", .target = "/-/ready", .limit_ms = 500})
             .status == 200;
}

void PlatformFleet::WaitUntilReady(int64_t limit_ms) {
  for (int i = 0; i < options_.gateways; ++i)
    WaitFor(limit_ms, "gateway " + std::to_string(i), [&] { return Ready(i); });
}

CallerAnswer PlatformFleet::SendTo(const std::string& address,
                                   const ClientRequest& call) {
  CallerAnswer answer;
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(64 * 1024 * 1024);
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.target);
  request.version(11);
  request.set(http::field::host, address);
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = call.body;
  request.prepare_payload();
  const size_t colon = address.find(':');
  stream.expires_after(milliseconds(call.limit_ms));
  stream.async_connect(
      tcp::endpoint(
          asio::ip::make_address_v4(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))),
      [&](beast::error_code error) {
        if (error) return;
        http::async_write(
            stream, request, [&](beast::error_code failed, size_t) {
              if (failed) return;
              http::async_read(stream, buffer, parser,
                               [&](beast::error_code ended, size_t) {
                                 answer.complete = !ended;
                               });
            });
      });
  io.run();
  if (!parser.is_header_done()) return answer;
  answer.status = static_cast<int>(parser.get().result_int());
  answer.body = parser.get().body();
  for (const auto& field : parser.get())
    answer.headers[boost::to_lower_copy(std::string(field.name_string()))] =
        std::string(field.value());
  return answer;
}

CallerAnswer PlatformFleet::Call(int gateway, ClientRequest call) {
  const std::string name = "gateway-" + std::to_string(gateway);
  call.headers.try_emplace("Host", "x.example");
  call.headers.try_emplace("X-Pimentopulley-Request-Id",
                           "r" + std::to_string(next_request_++));
  return SendTo(HostAddress(name, kCallerPort), call);
}

ClientRequest PlatformFleet::TurnRequest(const std::string& id,
                                         const std::string& program,
                                         const std::string& previous,
                                         const std::string& body,
                                         int64_t budget) const {
  ClientRequest call{.method = "POST", .target = "/kept/turn", .body = body};
  call.headers = {{"X-Pimentopulley-Request-Id", id},
                  {"X-Pimentopulley-Program-Id", program},
                  {"X-Pimentopulley-Token-Budget", std::to_string(budget)},
                  {"X-Pimentopulley-Token-Count", "100,60"},
                  {"X-Pimentopulley-Deadline-Ms", "3000"},
                  {"Authorization", "Token " + key_}};
  if (!previous.empty())
    call.headers["X-Pimentopulley-Previous-Turn"] = previous;
  return call;
}

ClientRequest PlatformFleet::PlainRequest(const std::string& id,
                                          bool idempotent) const {
  ClientRequest call{.method = idempotent ? "GET" : "POST",
                     .target = idempotent ? "/status/x" : "/charge/x"};
  call.headers = {{"X-Pimentopulley-Request-Id", id},
                  {"X-Pimentopulley-Deadline-Ms", "1500"},
                  {"Authorization", "Token " + key_}};
  return call;
}

std::string PlatformFleet::SendRaw(int gateway, const std::string& bytes,
                                   int64_t limit_ms) {
  return SendRawTo(
      HostAddress("gateway-" + std::to_string(gateway), kCallerPort), bytes,
      limit_ms);
}

std::vector<std::string> PlatformFleet::Listening(
    const std::string& name) const {
  std::vector<int> ports = {kFirstPort, kMetricsPort};
  if (name.starts_with("gateway"))
    ports.insert(ports.end(), {kCallerPort, kReadyPort, kDirectoryPort});
  std::vector<std::string> addresses;
  for (const int port : ports) addresses.push_back(HostAddress(name, port));
  return addresses;
}

std::string PlatformFleet::SendRawTo(const std::string& address,
                                     const std::string& bytes,
                                     int64_t limit_ms) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  const size_t colon = address.find(':');
  stream.connect(tcp::endpoint(
      asio::ip::make_address_v4(address.substr(0, colon)),
      static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))));
  std::string received;
  std::string chunk(4'096, '\0');
  std::function<void()> read = [&] {
    stream.async_read_some(asio::buffer(chunk),
                           [&](beast::error_code error, size_t size) {
                             received += chunk.substr(0, size);
                             if (!error) read();
                           });
  };
  stream.expires_after(milliseconds(limit_ms));
  asio::async_write(stream, asio::buffer(bytes),
                    [&](beast::error_code error, size_t) {
                      if (!error) read();
                    });
  io.run();
  return received;
}

std::string PlatformFleet::Runs(const std::string& name) {
  return SendTo(addresses_.at(name), {.method = "GET", .target = "/runs"}).body;
}

void PlatformFleet::SetFaults(const std::string& name,
                              const std::string& json) {
  const ClientRequest call{.method = "POST",
                           .target = "/faults",
                           .body = json,
                           .limit_ms = kStandInTimeoutMs};
  if (SendTo(addresses_.at(name), call).status != 200)
    throw std::runtime_error("The fault switches of " + name +
                             " were not set.");
}

void PlatformFleet::PutState(int64_t version,
                             const std::vector<std::string>& keys) {
  PutObject("config", "main",
            json::serialize(StateSpec(version, keys, options_)));
}

void PlatformFleet::PutObject(const std::string& kind, const std::string& name,
                              const std::string& spec) {
  const std::string body = R"({"metadata":{"name":)" +
                           json::serialize(json::string(name)) +
                           R"(},"spec":)" + spec + "}";
  const std::string path = "/-/objects/" + kind;
  ClientRequest call{.method = "PUT",
                     .target = ObjectTarget(kind, name),
                     .body = body,
                     .limit_ms = kStandInTimeoutMs};
  if (SendTo(addresses_["store"], call).status == 200) return;
  call.method = "POST";
  call.target = path;
  if (SendTo(addresses_["store"], call).status != 200)
    throw std::runtime_error("The store did not accept the object " + kind +
                             "/" + name + ".");
}

void PlatformFleet::DeleteObject(const std::string& kind,
                                 const std::string& name) {
  SendTo(addresses_["store"], {.method = "DELETE",
                               .target = ObjectTarget(kind, name),
                               .limit_ms = kStandInTimeoutMs});
}

std::string PlatformFleet::Object(const std::string& kind,
                                  const std::string& name) {
  return SendTo(addresses_["store"],
                {.method = "GET", .target = ObjectTarget(kind, name)})
      .body;
}

void PlatformFleet::PutRawObject(const std::string& kind,
                                 const std::string& name,
                                 const std::string& text) {
  const ClientRequest call{
      .method = "POST",
      .target = "/raw?kind=" + kind + "&name=" + platform::EscapeForUrl(name),
      .body = text,
      .limit_ms = kStandInTimeoutMs};
  if (SendTo(addresses_["store"], call).status != 200)
    throw std::runtime_error("The store did not accept an object of " + kind +
                             ".");
}

void PlatformFleet::RefuseWrites(const std::string& name) {
  SendTo(addresses_["store"],
         {.method = "POST",
          .target = "/refuse?name=" + platform::EscapeForUrl(name),
          .limit_ms = kStandInTimeoutMs});
}

void PlatformFleet::RestartStore(int64_t down_ms) {
  SendTo(addresses_["store"],
         {.method = "POST",
          .target = "/restart",
          .body = R"({"down_ms":)" + std::to_string(down_ms) + "}"});
}

int64_t PlatformFleet::StoreCalls() {
  return std::stoll(
      SendTo(addresses_["store"], {.method = "GET", .target = "/calls"}).body);
}

std::string PlatformFleet::Metrics(const std::string& host) {
  return SendTo(HostAddress(host, kMetricsPort),
                {.method = "GET", .target = "/metrics"})
      .body;
}

std::string PlatformFleet::Log(const std::string& name) const {
  std::ifstream in(dir_ + "/" + name + ".log");
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace pimento::testbed
