// Processes, settings and admin requests of the test fleet.
#include "bench/lib/test_fleet.h"

#include <boost/json.hpp>
#include <boost/process.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

#include "src/document.h"
#include "src/errors.h"
#include "src/http_client.h"
#include "src/program_ledger.h"
#include "src/worker_thread.h"

namespace pimento::testbed {
namespace {

namespace json = boost::json;

constexpr int64_t kReadyTimeoutMs = 30'000;

std::string LocalAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

void Pause(int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
}

std::string JoinWithCommas(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words)
    text += (text.empty() ? "" : ", ") + word;
  return text;
}

std::string TeamSection(const std::string& name, int rate, int burst) {
  return "[team " + name + "]\nrate = " + std::to_string(rate) +
         "/s\nburst = " + std::to_string(burst) +
         "\nkeys = " + KeyDigest("key-" + name) +
         "\nservices = chat, desk, info\n";
}

// True when the request was sent before the connection failed. Errors other
// than a TransportError count as sent.
bool WasSent(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const TransportError& e) {
    return e.sent();
  } catch (const std::exception&) {
    return true;
  }
}

}  // namespace

Answer Ask(const std::string& address, const std::string& method,
           const std::string& target, const std::string& body,
           const std::map<std::string, std::string>& headers,
           int64_t limit_ms) {
  boost::asio::io_context io(1);
  Answer answer;
  HttpCall call{.address = address,
                .method = method,
                .target = target,
                .headers = headers,
                .body = body,
                .idle_timeout_ms = limit_ms,
                .total_ms = limit_ms};
  boost::asio::co_spawn(io, Fetch(std::move(call)),
                        [&answer](std::exception_ptr error, HttpResult result) {
                          if (error) {
                            answer.connection_lost = WasSent(error);
                            return;
                          }
                          answer.status = result.status;
                          answer.body = std::move(result.body);
                        });
  io.run();
  return answer;
}

TestFleet::TestFleet(FleetOptions options) : options_(std::move(options)) {
  std::filesystem::create_directories(options_.work_dir);
  platform_ = LocalAddress();
  for (int i = 0; i < options_.hosts; ++i) {
    const std::string host = "h" + std::to_string(i + 1);
    zones_[host] = "z" + std::to_string(i % options_.zones + 1);
    entries_[host] = LocalAddress();
    rpcs_[host] = LocalAddress();
    admins_[host] = LocalAddress();
  }
  for (int i = 0; i < options_.engines; ++i)
    upstreams_["e" + std::to_string(i + 1)] = LocalAddress();
  for (int i = 0; i < options_.services; ++i)
    upstreams_["s" + std::to_string(i + 1)] = LocalAddress();
  document_ = MakeDocument();
}

std::string TestFleet::MakeDocument() const {
  std::string text = "[environment]\nname = production\nshards = " +
                     std::to_string(options_.shards) + "\n";
  text += options_.teams.empty() ? TeamSection("quilters", 200, 200) +
                                       TeamSection("skips", 200, 200)
                                 : options_.teams;
  text += "[service chat]\nkind = engine\nfencing = ";
  text += options_.fencing ? "honoured" : "ignored";
  text += "\nsilence_limit = 3s\n";
  text += "[service desk]\nkind = plain\nidempotent = ";
  text += options_.idempotent_orders ? "true" : "false";
  text += "\nsilence_limit = 2s\ncall_limit = 10s\n";
  text += "[service info]\nkind = plain\nopen = true\n";
  for (int i = 0; i < options_.zones; ++i)
    text += "[zone z" + std::to_string(i + 1) + "]\n";
  int index = 0;
  for (const auto& [name, address] : upstreams_) {
    const bool engine = name.front() == 'e';
    // The last plain service serves "info", the service that needs no key.
    const bool open = name == "s" + std::to_string(options_.services) &&
                      options_.services > 1;
    text += "[upstream " + name + "]\nservice = ";
    text += engine ? "chat" : open ? "info" : "desk";
    text += "\naddress = " + address + "\nzone = z" +
            std::to_string(index++ % options_.zones + 1) + "\n";
    text += "window = " + std::to_string(options_.engine_window) +
            "\ncold_window = " + std::to_string(options_.engine_cold_window) +
            "\ncold_start = " + options_.engine_cold_start + "\n";
  }
  return text;
}

void TestFleet::WriteSettings(const std::string& host) {
  std::vector<std::string> seeds;
  std::vector<std::string> schedulers = {rpcs_.at(host)};
  for (const auto& [other, address] : rpcs_) {
    seeds.push_back(address);
    if (other != host) schedulers.push_back(address);
  }
  WriteFile(Path(host + "-scheduler.ini"),
            "[host]\nname = " + host + "\nzone = " + zones_.at(host) +
                "\nrpc_address = " + rpcs_.at(host) + "\nadmin_address = " +
                admins_.at(host) + "\nhttp_address = " + entries_.at(host) +
                "\n[platform]\naddress = " + platform_ +
                "\nenvironment = production\n[peers]\nseeds = " +
                JoinWithCommas(seeds) +
                "\n[log]\nlevel = " + options_.log_level +
                "\n[timing]\nreplace_hold = " + options_.replace_hold +
                "\nrebalance_after = " + options_.rebalance_after +
                "\n[policy]\nqueue = " + options_.queue_policy +
                "\nchoice = " + options_.choice_policy + "\n[limits]\n" +
                options_.scheduler_limits + "\n[testing]\nfaults = true\n");
  WriteFile(Path(host + "-entry.ini"),
            "[host]\nname = " + host + "\nzone = " + zones_.at(host) +
                "\nhttp_address = " + entries_.at(host) +
                "\n[schedulers]\naddresses = " + JoinWithCommas(schedulers) +
                "\n[log]\nlevel = " + options_.log_level +
                "\n[policy]\nrefusal_cache = " +
                (options_.refusal_cache ? "true" : "false") + "\n[limits]\n" +
                options_.entry_limits + "\n");
}

void TestFleet::StartPlatform() {
  processes_.Start("platform", options_.bin_dir + "/standin-platform",
                   {"--listen", platform_}, Path("platform.log"));
}

void TestFleet::StartHost(const std::string& host) {
  WriteSettings(host);
  processes_.Start(host + "-scheduler", options_.bin_dir + "/pimento-scheduler",
                   {"--config", Path(host + "-scheduler.ini")},
                   Path(host + "-scheduler.log"));
  processes_.Start(host + "-entry", options_.bin_dir + "/pimento-entry",
                   {"--config", Path(host + "-entry.ini")},
                   Path(host + "-entry.log"));
}

void TestFleet::Start() {
  StartPlatform();
  for (const auto& [name, address] : upstreams_) {
    const bool engine = name.front() == 'e';
    std::vector<std::string> arguments = {"--listen", address};
    if (engine) {
      arguments.push_back("--faults");
      arguments.push_back(options_.engine_faults);
    }
    processes_.Start(
        name,
        options_.bin_dir + (engine ? "/standin-engine" : "/standin-service"),
        arguments, Path(name + ".log"));
  }
  for (const std::string& host : hosts()) StartHost(host);
  for (int64_t waited = 0; Ask(platform_, "GET", "/healthz").status != 200;
       waited += 20) {
    if (waited > kReadyTimeoutMs)
      throw std::runtime_error("The stand-in platform at " + platform_ +
                               " did not start.");
    Pause(20);
  }
  WriteFile(Path("document.ini"), document_);
  const Output applied = RunPimentoctl({"apply", Path("document.ini")});
  if (applied.code != 0)
    throw std::runtime_error("pimentoctl did not apply the document: " +
                             applied.text);
  if (!WaitReady(hosts().size(), kReadyTimeoutMs))
    throw std::runtime_error("The fleet did not become ready within " +
                             std::to_string(kReadyTimeoutMs) + " ms.");
}

std::vector<std::string> TestFleet::hosts() const {
  std::vector<std::string> all;
  for (const auto& [host, address] : entries_) all.push_back(host);
  return all;
}

std::vector<std::string> TestFleet::upstreams() const {
  std::vector<std::string> all;
  for (const auto& [name, address] : upstreams_) all.push_back(name);
  return all;
}

void TestFleet::KillHost(const std::string& host) {
  processes_.Kill(host + "-scheduler");
  processes_.Kill(host + "-entry");
}

void TestFleet::FreezeHost(const std::string& host) {
  processes_.Freeze(host + "-scheduler");
  processes_.Freeze(host + "-entry");
}

void TestFleet::ThawHost(const std::string& host) {
  processes_.Thaw(host + "-scheduler");
  processes_.Thaw(host + "-entry");
}

bool TestFleet::StopHost(const std::string& host, int64_t limit_ms) {
  processes_.Signal(host + "-entry", SIGTERM);
  const int scheduler = processes_.Terminate(host + "-scheduler", limit_ms);
  const int entry = processes_.Terminate(host + "-entry", limit_ms);
  return scheduler == 0 && entry == 0;
}

void TestFleet::Cut(const std::string& host,
                    const std::vector<std::string>& others) {
  json::array cut;
  bool platform = false;
  for (const std::string& other : others) {
    if (other == "platform") {
      platform = true;
    } else {
      cut.emplace_back(rpcs_.at(other));
    }
  }
  const json::object body = {{"cut", cut}, {"cut_platform", platform}};
  Ask(admins_.at(host), "POST", "/faults", json::serialize(body));
  for (const auto& [other, address] : admins_) {
    if (other == host) continue;
    const bool listed =
        std::find(others.begin(), others.end(), other) != others.end();
    json::array cut_back;
    if (listed) cut_back.emplace_back(rpcs_.at(host));
    Ask(address, "POST", "/faults",
        json::serialize(json::object{{"cut", cut_back}}), {}, 500);
  }
}

TestFleet::Output TestFleet::RunPimentoctl(
    const std::vector<std::string>& words) {
  namespace process = boost::process;
  std::vector<std::string> admins;
  for (const auto& [host, address] : admins_) admins.push_back(address);
  std::string admin_list;
  for (const std::string& address : admins)
    admin_list += (admin_list.empty() ? "" : ",") + address;
  std::vector<std::string> arguments = words;
  arguments.insert(arguments.end(),
                   {"--platform", platform_, "--admin", admin_list});
  process::ipstream out;
  process::child child(process::exe = options_.bin_dir + "/pimentoctl",
                       process::args = arguments,
                       (process::std_out & process::std_err) > out);
  Output output;
  std::string line;
  while (std::getline(out, line)) output.text += line + "\n";
  child.wait();
  output.code = child.exit_code();
  return output;
}

TestFleet::Output TestFleet::ApplyChange(const std::string& from,
                                         const std::string& to) {
  const size_t at = document_.find(from);
  if (at == std::string::npos)
    throw std::runtime_error("The document does not contain \"" + from + "\".");
  document_.replace(at, from.size(), to);
  WriteFile(Path("document.ini"), document_);
  return RunPimentoctl({"apply", Path("document.ini")});
}

std::string TestFleet::OwnerOf(const std::string& program) const {
  const std::optional<uint32_t> shard = ShardOfProgram(program);
  if (!shard) return "";
  for (const auto& [host, admin] : admins_) {
    const Answer answer = Ask(admin, "GET", "/status", "", {}, 500);
    if (answer.status != 200) continue;
    const json::value status = json::parse(answer.body);
    for (const json::value& owned : status.at("owned").as_array()) {
      if (owned.at("shard").to_number<uint32_t>() == *shard) return host;
    }
  }
  return "";
}

void TestFleet::SetFaults(const std::string& name, const std::string& text) {
  const std::string address =
      name == "platform" ? platform_ : upstreams_.at(name);
  Ask(address, "POST", "/faults", text);
}

bool TestFleet::WaitReady(size_t wanted_hosts, int64_t limit_ms) const {
  for (int64_t waited = 0; waited < limit_ms; waited += 100) {
    std::set<uint32_t> owned;
    size_t answering = 0;
    bool all_see_hosts = true;
    for (const auto& [host, admin] : admins_) {
      const Answer answer = Ask(admin, "GET", "/status", "", {}, 500);
      if (answer.status != 200) continue;
      ++answering;
      const json::value status = json::parse(answer.body);
      size_t alive = 0;
      for (const json::value& seen : status.at("hosts").as_array()) {
        if (seen.at("state").as_string() == "alive") ++alive;
      }
      all_see_hosts = all_see_hosts && alive >= wanted_hosts;
      for (const json::value& shard : status.at("owned").as_array()) {
        owned.insert(shard.at("shard").to_number<uint32_t>());
      }
    }
    size_t entries_ready = 0;
    for (const auto& [host, entry] : entries_) {
      if (Ask(entry, "GET", "/healthz", "", {}, 500).status == 200)
        ++entries_ready;
    }
    const bool ready = answering >= wanted_hosts && all_see_hosts &&
                       owned.size() == options_.shards &&
                       entries_ready >= wanted_hosts;
    if (ready) return true;
    Pause(100);
  }
  return false;
}

double TestFleet::CounterSum(const std::string& line_start,
                             bool entries) const {
  double sum = 0;
  for (const auto& [host, address] : entries ? entries_ : admins_) {
    const Answer answer = Ask(address, "GET", "/metrics", "", {}, 500);
    std::istringstream lines(answer.body);
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.starts_with(line_start)) continue;
      sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
  }
  return sum;
}

}  // namespace pimento::testbed
