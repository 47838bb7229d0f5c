#pragma once

#include <absl/status/status.h>
#include <thrift/TBase.h>

#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "coordination/records.h"

namespace vanillaladder::coordination::wire {
class record_id;
class writer_history;
}  // namespace vanillaladder::coordination::wire

namespace vanillaladder::coordination::detail {

/// @return the compact encoding of a struct in an envelope.
std::string encode_envelope(const apache::thrift::TBase& value);

/// Checks an envelope and decodes its struct.
/// @return `DATA_LOSS` or `UNIMPLEMENTED` as in `decode_control`.
absl::Status decode_envelope(std::string_view bytes,
                             apache::thrift::TBase& value);

/// Status of a record with a kind or an enumerator that this release does not
/// know.
absl::Status unknown_record();
/// Status of a corrupt record; `what` names the malformed part.
absl::Status malformed_record(std::string_view what);

/// Converts numbers from their wire type; `status` reports if any was out of
/// range.
class checked_narrowing {
 public:
  template <std::integral To, std::integral From>
  To number(From value) {
    if constexpr (sizeof(To) == sizeof(From)) {
      return static_cast<To>(value);  // 64-bit values keep their bits
    } else {
      in_range_ =
          in_range_ && value >= 0 &&
          static_cast<std::uint64_t>(value) <=
              static_cast<std::uint64_t>(std::numeric_limits<To>::max());
      return static_cast<To>(value);
    }
  }
  /// @param last the largest known enumerator.
  template <class Enum>
  Enum enumerator(std::int32_t value, Enum last) {
    if (value < 0 || value > static_cast<std::int32_t>(last)) {
      enumerators_known_ = false;
      return Enum{};
    }
    return static_cast<Enum>(value);
  }
  absl::Status status() const;

 private:
  bool in_range_ = true;
  bool enumerators_known_ = true;
};

wire::record_id to_wire(const record_id& id);
record_id from_wire(const wire::record_id& id);
wire::writer_history to_wire(const writer_history& history);
writer_history from_wire(const wire::writer_history& history);

}  // namespace vanillaladder::coordination::detail
