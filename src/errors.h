// The errors of each layer. A layer catches what the layer below throws and
// turns it into its own.
#pragma once

#include <exception>
#include <stdexcept>
#include <string>

namespace pimento {

// What the exception behind `error` says.
inline std::string ExceptionMessage(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& e) {
    return e.what();
  } catch (...) {
    return "unknown exception";
  }
}

// A mistake of the user, in settings, documents or arguments. Shown as it is.
class UserError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Stored state that cannot be understood.
class StateError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A connection to an upstream, the platform or a peer failed.
class TransportError : public std::runtime_error {
 public:
  // `sent` tells whether any byte of the request may have reached the other
  // end.
  explicit TransportError(const std::string& message, bool sent = true,
                          bool silent = false)
      : std::runtime_error(message), sent_(sent), silent_(silent) {}
  bool sent() const { return sent_; }
  // True when the other end stayed connected and said nothing.
  bool silent() const { return silent_; }

 private:
  bool sent_;
  bool silent_;
};

// The platform's object API cannot be used at the moment.
class PlatformError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace pimento
