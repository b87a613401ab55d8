// Parses INI text and validates all of it against a table of rules before any
// value is used. Settings files and environment documents both use it.
//
//   [team quilters]        section kind "team", name "quilters"
//   rate = 20/s            checked by the rule {"rate", kRate, ...}
//
// All faults of a file are reported together. Each message names the file,
// line, section, key and value, and the values that are allowed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pimento {

enum class ValueKind {
  kText,
  kCount,     // whole number
  kRate,      // calls per second, "20/s"
  kNumber,    // decimal number
  kDuration,  // "250ms", "3s", "5m"
  kSize,      // "512B", "64KiB", "8MiB"
  kBool,      // "true" or "false"
  kList,      // comma-separated words
  kAddress,   // "127.0.0.1:8080"
  kChoice,    // one of the words in KeyRule::choices
};

// The type, range and default of one key of a section.
struct KeyRule {
  const char* name;
  ValueKind kind = ValueKind::kText;
  bool required = false;
  // Used if the key is absent. It is validated like a given value.
  const char* default_value = "";
  // Inclusive range of a number: durations in milliseconds, sizes in bytes.
  double min_value = 0;
  double max_value = 1e12;
  // For kChoice: the allowed words, separated by '|'.
  const char* choices = "";
};

// What a section may contain. `kind` is the first word of its header.
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
  // 0 if the value is a default.
  int line = 0;
};

// A section of a parsed file, including the defaults of absent keys. Values are
// valid if IniFile::faults() is empty.
class IniSection {
 public:
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;

  std::string Text(const std::string& key) const;
  int64_t Count(const std::string& key) const;
  // A number, or a rate in calls per second.
  double Number(const std::string& key) const;
  int64_t Milliseconds(const std::string& key) const;
  int64_t Bytes(const std::string& key) const;
  bool Bool(const std::string& key) const;
  std::vector<std::string> List(const std::string& key) const;
  // Line of the key, or of the section header if the key is absent.
  int Line(const std::string& key) const;
};

// A violation of a rule. `section` includes its brackets.
struct IniFault {
  std::string file;
  int line = 0;
  std::string section;
  std::string key;
  std::string message;
};

// Formats a fault as "file:line: [section] key: message".
std::string Describe(const IniFault& fault);

class IniFile {
 public:
  // Parses and validates `text`, which was read from `file`. Does not throw;
  // the values must not be used unless faults() is empty.
  static IniFile Parse(const std::string& text, const std::string& file,
                       const std::vector<SectionRule>& rules);

  const std::vector<IniSection>& sections() const { return sections_; }
  const std::vector<IniFault>& faults() const { return faults_; }
  std::vector<const IniSection*> SectionsOfKind(const std::string& kind) const;
  // Returns the only section of `kind`, or its default values if the file has
  // no such section.
  IniSection SingleSection(const std::string& kind) const;
  // Reports a fault found by the caller, such as an undeclared reference.
  void AddFault(const IniSection& section, const std::string& key,
                const std::string& message);
  // Throws UserError that lists all faults, one per line, if there are any.
  void ThrowIfFaulty() const;

 private:
  void CheckSection(IniSection& section, const SectionRule& rule);

  std::string file_;
  std::vector<IniSection> sections_;
  std::vector<IniFault> faults_;
  std::vector<SectionRule> rules_;
};

}  // namespace pimento
