#include "src/ini_file.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/lexical_cast.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <map>
#include <optional>
#include <sstream>

#include "src/errors.h"

namespace pimento {
namespace {

struct Unit {
  const char* suffix;
  double factor;
};

const std::vector<Unit> kDurationUnits = {
    {"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}};
const std::vector<Unit> kSizeUnits = {
    {"KiB", 1'024}, {"MiB", 1'048'576}, {"B", 1}};
const std::vector<Unit> kRateUnits = {{"/s", 1}};

std::optional<double> ParseNumber(const std::string& text) {
  double value = 0;
  if (!boost::conversion::try_lexical_convert(text, value)) return std::nullopt;
  return value;
}

std::optional<double> ParseWithUnit(const std::string& text,
                                    const std::vector<Unit>& units) {
  for (const Unit& unit : units) {
    if (!boost::ends_with(text, unit.suffix)) continue;
    const std::string digits =
        text.substr(0, text.size() - std::string(unit.suffix).size());
    const std::optional<double> value = ParseNumber(boost::trim_copy(digits));
    if (value) return *value * unit.factor;
  }
  return std::nullopt;
}

std::optional<double> ParseValue(ValueKind kind, const std::string& text) {
  switch (kind) {
    case ValueKind::kDuration:
      return ParseWithUnit(text, kDurationUnits);
    case ValueKind::kSize:
      return ParseWithUnit(text, kSizeUnits);
    case ValueKind::kRate:
      return ParseWithUnit(text, kRateUnits);
    default:
      return ParseNumber(text);
  }
}

const char* ExpectedForm(ValueKind kind) {
  switch (kind) {
    case ValueKind::kCount:
      return "a whole number";
    case ValueKind::kRate:
      return "a number of calls per second, such as 20/s";
    case ValueKind::kDuration:
      return "a duration with a unit of ms, s, m or h, such as 250ms";
    case ValueKind::kSize:
      return "a size with a unit of B, KiB or MiB, such as 64KiB";
    case ValueKind::kBool:
      return "true or false";
    case ValueKind::kAddress:
      return "an IP address and a port, such as 127.0.0.1:8080";
    default:
      return "a number";
  }
}

bool IsAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  const std::optional<double> port = ParseNumber(text.substr(colon + 1));
  return !error && port && *port >= 0 && *port <= 65'535 &&
         *port == static_cast<int>(*port);
}

std::string FormatNumber(double value) {
  std::ostringstream out;
  out.precision(12);
  out << value;
  return out.str();
}

// Returns a message that says why `value` violates `rule`, or nullopt if it is
// valid.
std::optional<std::string> CheckValue(const KeyRule& rule,
                                      const std::string& value) {
  const std::string quoted =
      "The value \"" + value + "\" is not allowed; expected ";
  switch (rule.kind) {
    case ValueKind::kText:
    case ValueKind::kList:
      if (rule.required && value.empty()) return quoted + "some text.";
      return std::nullopt;
    case ValueKind::kBool:
      if (value == "true" || value == "false") return std::nullopt;
      return quoted + ExpectedForm(rule.kind) + ".";
    case ValueKind::kAddress:
      if (IsAddress(value) || (!rule.required && value.empty())) {
        return std::nullopt;
      }
      return quoted + ExpectedForm(rule.kind) + ".";
    case ValueKind::kChoice: {
      std::vector<std::string> words;
      boost::split(words, rule.choices, boost::is_any_of("|"));
      if (std::find(words.begin(), words.end(), value) != words.end()) {
        return std::nullopt;
      }
      return quoted + "one of " + boost::join(words, ", ") + ".";
    }
    default:
      break;
  }
  const std::optional<double> number = ParseValue(rule.kind, value);
  const bool whole =
      rule.kind != ValueKind::kCount ||
      (number && *number == static_cast<double>(static_cast<int64_t>(*number)));
  if (!number || !whole) return quoted + ExpectedForm(rule.kind) + ".";
  if (*number >= rule.min_value && *number <= rule.max_value) {
    return std::nullopt;
  }
  return quoted + "a value from " + FormatNumber(rule.min_value) + " to " +
         FormatNumber(rule.max_value) +
         (rule.kind == ValueKind::kDuration ? " ms."
          : rule.kind == ValueKind::kSize   ? " B."
                                            : ".");
}

// Maps each section ("[team a]") and key ("[team a]\nrate") to its line number,
// because Boost's property tree does not keep line numbers.
std::map<std::string, int> LineNumbers(const std::string& text) {
  std::map<std::string, int> lines;
  std::istringstream in(text);
  std::string line;
  std::string section;
  for (int number = 1; std::getline(in, line); ++number) {
    boost::trim(line);
    if (boost::starts_with(line, "[")) {
      section = line;
      lines.emplace(section, number);
    } else if (const size_t equals = line.find('=');
               equals != std::string::npos) {
      lines.emplace(section + "\n" + boost::trim_copy(line.substr(0, equals)),
                    number);
    }
  }
  return lines;
}

std::string Header(const IniSection& section) {
  return "[" + section.kind + (section.name.empty() ? "" : " " + section.name) +
         "]";
}

const IniEntry* FindEntry(const IniSection& section, const std::string& key) {
  for (const IniEntry& entry : section.entries) {
    if (entry.key == key) return &entry;
  }
  return nullptr;
}

const SectionRule* FindRule(const std::vector<SectionRule>& rules,
                            const std::string& kind) {
  for (const SectionRule& rule : rules) {
    if (kind == rule.kind) return &rule;
  }
  return nullptr;
}

std::string KnownKeys(const SectionRule& rule) {
  std::vector<std::string> names;
  for (const KeyRule& key : rule.keys) names.emplace_back(key.name);
  return boost::join(names, ", ");
}

std::string KnownSections(const std::vector<SectionRule>& rules) {
  std::vector<std::string> names;
  names.reserve(rules.size());
  for (const SectionRule& rule : rules) {
    names.push_back(std::string("[") + rule.kind +
                    (rule.named ? " NAME]" : "]"));
  }
  return boost::join(names, ", ");
}

}  // namespace

std::string IniSection::Text(const std::string& key) const {
  const IniEntry* entry = FindEntry(*this, key);
  return entry == nullptr ? "" : entry->value;
}

int64_t IniSection::Count(const std::string& key) const {
  return static_cast<int64_t>(ParseNumber(Text(key)).value_or(0));
}

double IniSection::Number(const std::string& key) const {
  const std::string text = Text(key);
  const std::optional<double> rate = ParseValue(ValueKind::kRate, text);
  return rate ? *rate : ParseNumber(text).value_or(0);
}

int64_t IniSection::Milliseconds(const std::string& key) const {
  return static_cast<int64_t>(
      ParseValue(ValueKind::kDuration, Text(key)).value_or(0));
}

int64_t IniSection::Bytes(const std::string& key) const {
  return static_cast<int64_t>(
      ParseValue(ValueKind::kSize, Text(key)).value_or(0));
}

bool IniSection::Bool(const std::string& key) const {
  return Text(key) == "true";
}

std::vector<std::string> IniSection::List(const std::string& key) const {
  std::vector<std::string> words;
  std::vector<std::string> kept;
  const std::string text = Text(key);
  boost::split(words, text, boost::is_any_of(","));
  for (std::string& word : words) {
    boost::trim(word);
    if (!word.empty()) kept.push_back(word);
  }
  return kept;
}

int IniSection::Line(const std::string& key) const {
  const IniEntry* entry = FindEntry(*this, key);
  return entry == nullptr || entry->line == 0 ? line : entry->line;
}

std::string Describe(const IniFault& fault) {
  std::string where = fault.file + ":" + std::to_string(fault.line) + ": ";
  if (!fault.section.empty()) where += fault.section + " ";
  if (!fault.key.empty()) where += fault.key + ": ";
  return where + fault.message;
}

IniFile IniFile::Parse(const std::string& text, const std::string& file,
                       const std::vector<SectionRule>& rules) {
  IniFile parsed;
  parsed.file_ = file;
  parsed.rules_ = rules;
  boost::property_tree::ptree tree;
  std::istringstream in(text);
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& e) {
    const std::string message =
        "The file cannot be read as INI: " + e.message() + ".";
    parsed.faults_.push_back(
        {file, static_cast<int>(e.line()), "", "", message});
    return parsed;
  }
  const std::map<std::string, int> lines = LineNumbers(text);
  const auto line_of = [&lines](const std::string& at) {
    const auto it = lines.find(at);
    return it == lines.end() ? 0 : it->second;
  };
  // Boost's parser drops sections without keys. They are valid here, such as
  // [zone NAME], so they are added.
  for (const auto& [at, line] : lines) {
    const bool header = at.starts_with("[") && at.ends_with("]");
    const std::string name = header ? at.substr(1, at.size() - 2) : "";
    if (header && tree.find(name) == tree.not_found()) {
      tree.push_back({name, {}});
    }
  }
  for (const auto& [header, body] : tree) {
    IniSection section;
    const size_t space = header.find(' ');
    section.kind = header.substr(0, space);
    if (space != std::string::npos) {
      section.name = boost::trim_copy(header.substr(space));
    }
    const std::string bracketed = Header(section);
    section.line = line_of(bracketed);
    for (const auto& [key, value] : body) {
      std::string at = bracketed;
      at.append("\n").append(key);
      section.entries.push_back(
          {key, boost::trim_copy(value.data()), line_of(at)});
    }
    const SectionRule* rule = FindRule(rules, section.kind);
    if (rule == nullptr || rule->named != !section.name.empty()) {
      parsed.AddFault(section, "",
                      "This section is not known; allowed are " +
                          KnownSections(rules) + ".");
      continue;
    }
    parsed.CheckSection(section, *rule);
    parsed.sections_.push_back(std::move(section));
  }
  for (const SectionRule& rule : rules) {
    if (!rule.required || !parsed.SectionsOfKind(rule.kind).empty()) continue;
    IniSection missing;
    missing.kind = rule.kind;
    parsed.AddFault(missing, "", "This section is missing.");
  }
  return parsed;
}

void IniFile::CheckSection(IniSection& section, const SectionRule& rule) {
  for (const IniEntry& entry : section.entries) {
    const bool known =
        std::any_of(rule.keys.begin(), rule.keys.end(),
                    [&](const KeyRule& key) { return entry.key == key.name; });
    if (!known) {
      AddFault(section, entry.key,
               "The key \"" + entry.key + "\" is not known; allowed are " +
                   KnownKeys(rule) + ".");
    }
  }
  for (const KeyRule& key : rule.keys) {
    const IniEntry* entry = FindEntry(section, key.name);
    if (entry == nullptr && key.required) {
      AddFault(section, key.name, "This key is missing.");
      continue;
    }
    if (entry == nullptr) {
      section.entries.push_back({key.name, key.default_value, 0});
      entry = &section.entries.back();
    }
    const std::optional<std::string> problem = CheckValue(key, entry->value);
    if (problem) AddFault(section, key.name, *problem);
  }
}

std::vector<const IniSection*> IniFile::SectionsOfKind(
    const std::string& kind) const {
  std::vector<const IniSection*> found;
  for (const IniSection& section : sections_) {
    if (section.kind == kind) found.push_back(&section);
  }
  return found;
}

IniSection IniFile::SingleSection(const std::string& kind) const {
  const std::vector<const IniSection*> found = SectionsOfKind(kind);
  if (!found.empty()) return *found.front();
  IniSection empty;
  empty.kind = kind;
  const SectionRule* rule = FindRule(rules_, kind);
  if (rule == nullptr) return empty;
  for (const KeyRule& key : rule->keys) {
    empty.entries.push_back({key.name, key.default_value, 0});
  }
  return empty;
}

void IniFile::AddFault(const IniSection& section, const std::string& key,
                       const std::string& message) {
  faults_.push_back({file_, section.Line(key), Header(section), key, message});
}

void IniFile::ThrowIfFaulty() const {
  if (faults_.empty()) return;
  std::string all;
  for (const IniFault& fault : faults_) {
    all += (all.empty() ? "" : "\n") + Describe(fault);
  }
  throw UserError(all);
}

}  // namespace pimento
