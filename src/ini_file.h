// Reads INI text and checks it whole against a table of rules, before any value
// is used. Settings and environment documents share this.
//
//   [team quilters]        section kind "team", name "quilters"
//   rate = 20/s            checked by the rule {"rate", kRate, ...}
//
// Every fault is reported at once, each as a sentence that names file, line,
// section, key, value and what is allowed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

enum class ValueKind {
  kText,
  kCount,     // whole number
  kRate,      // calls each second, "20/s"
  kNumber,    // decimal number
  kDuration,  // "250ms", "3s", "5m"
  kSize,      // "512B", "64KiB", "8MiB"
  kBool,      // "true" or "false"
  kList,      // words with commas between them
  kAddress,   // "127.0.0.1:8080"
  kChoice,    // one of the words in KeyRule::choices
};

struct KeyRule {
  const char* name;
  ValueKind kind = ValueKind::kText;
  bool required = false;
  // Used when the key is absent. Checked like a given value.
  const char* default_value = "";
  // Range of numbers; durations in milliseconds, sizes in bytes.
  double min_value = 0;
  double max_value = 1e12;
  // For kChoice, the words allowed with '|' between them.
  const char* choices = "";
};

struct SectionRule {
  const char* kind;
  // True for sections such as [team NAME].
  bool named = false;
  bool required = false;
  std::vector<KeyRule> keys;
};

struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

// A section whose keys have passed their rules.
class IniSection {
 public:
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  std::string Text(const std::string& key) const;
  int64_t Count(const std::string& key) const;
  // Numbers, and rates in calls each second.
  double Number(const std::string& key) const;
  int64_t Milliseconds(const std::string& key) const;
  int64_t Bytes(const std::string& key) const;
  bool Bool(const std::string& key) const;
  std::vector<std::string> List(const std::string& key) const;
  int Line(const std::string& key) const;
};

// A fault found in a file.
struct IniFault {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string message;
};

// "file:line: [section] key: message".
std::string Describe(const IniFault& fault);

class IniFile {
 public:
  // Parses and checks `text`. Faults go to `faults()`; sections that have any
  // must not be used.
  static IniFile Parse(const std::string& text, const std::string& file,
                       const std::vector<SectionRule>& rules);

  const std::vector<IniSection>& sections() const { return sections_; }
  const std::vector<IniFault>& faults() const { return faults_; }
  std::vector<const IniSection*> SectionsOfKind(const std::string& kind) const;
  // The only section of `kind`, or an empty one with its fallbacks.
  IniSection SingleSection(const std::string& kind) const;
  void AddFault(const IniSection& section, const std::string& key,
                const std::string& message);
  // Throws UserError that lists every fault, if there is one.
  void ThrowIfFaulty() const;

 private:
  void CheckSection(IniSection& section, const SectionRule& rule);

  std::string file_;
  std::vector<IniSection> sections_;
  std::vector<IniFault> faults_;
  std::vector<SectionRule> rules_;
};

}  // namespace pimento
