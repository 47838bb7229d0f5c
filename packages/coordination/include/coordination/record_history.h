#pragma once

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// Result of looking up a record id.
enum class record_id_status { first_seen, duplicate, stale_incarnation };

/// Writers remembered per stream; the one silent for longest is forgotten.
inline constexpr std::size_t max_writers = 256;
/// Gaps remembered per writer. A gap arises when a record of a batch is
/// corrupt; its repeat is accepted while the gap is remembered.
inline constexpr std::size_t max_missing = 64;

/// Registers a record id; a repeat and a record of an earlier incarnation of
/// the same instance are recognised.
/// @param offset offset of the record.
record_id_status register_record(writer_histories& writers, const record_id& id,
                                 model::offset offset);

}  // namespace vanillaladder::coordination
