// Exception types that more than one layer throws. A layer catches the
// exceptions of the layer below it and rethrows them as its own type.
#pragma once

#include <exception>
#include <stdexcept>
#include <string>

namespace pimento {

// Returns what() of the exception that `error` holds.
inline std::string ExceptionMessage(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& e) {
    return e.what();
  } catch (...) {
    return "unknown exception";
  }
}

// An error in the user's settings, documents or arguments. The message is shown
// to the user unchanged.
class UserError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Stored state cannot be decoded.
class StateError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A connection to an upstream, the platform or a peer failed.
class TransportError : public std::runtime_error {
 public:
  // `sent` is false only if no byte of the request can have reached the peer.
  // `silent` is true if the request timed out on an open connection, `refused`
  // if the peer refused or reset the connection.
  explicit TransportError(const std::string& message, bool sent = true,
                          bool silent = false, bool refused = false)
      : std::runtime_error(message),
        sent_(sent),
        silent_(silent),
        refused_(refused) {}
  bool sent() const { return sent_; }
  // True if the request timed out: the connection stayed open, but the peer did
  // not answer.
  bool silent() const { return silent_; }
  // True if the peer refused or reset the connection: not for a lack of
  // descriptors, ports or routes on this host.
  bool refused() const { return refused_; }

 private:
  bool sent_;
  bool silent_;
  bool refused_;
};

// Statuses of the protocol; those below 200 announce another answer.
inline constexpr int kLeastStatus = 100;
inline constexpr int kGreatestStatus = 599;

// An answer's status is outside the protocol: it is no answer, and the request
// may have run.
class InvalidStatusError : public TransportError {
 public:
  InvalidStatusError(const std::string& peer, int status)
      : TransportError("The answer of " + peer + " has the status " +
                       std::to_string(status) +
                       ", which is outside the protocol.") {}
};

// The platform's object API is temporarily unavailable.
class PlatformError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace pimento
