#pragma once

#include "coordination/records.h"

namespace vanillaladder::coordination {

/// Whether a record id has been applied before.
enum class record_id_status { first_seen, duplicate, stale_incarnation };

/// Writers kept per stream; the one whose last record is oldest is dropped.
inline constexpr std::size_t max_writers = 256;
/// Missing sequence numbers kept per writer. A number is missing if the first
/// copy of its record was corrupt; a repeat is accepted as long as it is kept.
inline constexpr std::size_t max_missing_sequences = 64;

/// Adds a record id to the history of its writer; detects repeats and records
/// of earlier incarnations of the instance.
/// @param offset offset of the record.
record_id_status register_record(writer_histories& writers, const record_id& id,
                                 model::offset offset);

}  // namespace vanillaladder::coordination
