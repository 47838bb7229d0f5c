#include "coordination/detail/envelope.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <xxhash.h>

#include <array>
#include <exception>
#include <memory>

#include "coordination/detail/text.h"
#include "records_types.h"

namespace vanillaladder::coordination::detail {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using protocol = TCompactProtocolT<TMemoryBuffer>;

constexpr std::size_t checksum_size = 8;
constexpr std::size_t header_size = 1 + checksum_size;

std::array<char, checksum_size> checksum(std::string_view payload) {
  std::uint64_t hash = XXH64(payload.data(), payload.size(), 0);
  std::array<char, checksum_size> bytes{};
  for (auto& byte : bytes) {
    byte = static_cast<char>(hash & 0xff);
    hash >>= 8U;
  }
  return bytes;
}

absl::Status read_struct(std::string_view payload,
                         apache::thrift::TBase& value) {
  // The buffer only reads the bytes, so casting away const is safe.
  auto* data =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(payload.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(payload.size()));
  // A string or container can't have more elements than there are bytes; this
  // limits the memory that a malformed size can allocate.
  auto limit = static_cast<std::int32_t>(payload.size());
  protocol reader(buffer, limit, limit);
  try {
    value.read(&reader);
  } catch (const std::exception& error) {
    return malformed_record(error.what());
  }
  if (buffer->available_read() != 0) {
    return malformed_record("bytes after the struct");
  }
  return absl::OkStatus();
}

}  // namespace

std::string encode_envelope(const apache::thrift::TBase& value) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  protocol writer(buffer);
  value.write(&writer);
  std::string payload = buffer->getBufferAsString();
  auto sum = checksum(payload);
  std::string bytes;
  bytes.reserve(header_size + payload.size());
  bytes.push_back(record_format);
  bytes.append(sum.data(), sum.size());
  bytes.append(payload);
  return bytes;
}

absl::Status decode_envelope(std::string_view bytes,
                             apache::thrift::TBase& value) {
  constexpr std::size_t max_size = std::numeric_limits<std::int32_t>::max();
  if (bytes.size() <= header_size || bytes.size() > max_size) {
    return malformed_record("size");
  }
  std::string_view payload = bytes.substr(header_size);
  auto sum = checksum(payload);
  if (bytes.substr(1, checksum_size) !=
      std::string_view(sum.data(), sum.size())) {
    return malformed_record("checksum");
  }
  if (bytes.front() != record_format) {
    return unknown_record();
  }
  return read_struct(payload, value);
}

absl::Status unknown_record() {
  return absl::UnimplementedError("decode record: unknown format or kind");
}

absl::Status malformed_record(std::string_view what) {
  return absl::DataLossError(concat({"decode record: malformed ", what}));
}

absl::Status checked_narrowing::status() const {
  if (!in_range_) {
    return malformed_record("number");
  }
  return enumerators_known_ ? absl::OkStatus() : unknown_record();
}

wire::record_id to_wire(const record_id& id) {
  wire::record_id out;
  out.instance = id.instance;
  out.incarnation = static_cast<std::int64_t>(id.incarnation);
  out.sequence = static_cast<std::int64_t>(id.sequence);
  return out;
}

record_id from_wire(const wire::record_id& id) {
  return {id.instance, static_cast<std::uint64_t>(id.incarnation),
          static_cast<std::uint64_t>(id.sequence)};
}

wire::writer_history to_wire(const writer_history& history) {
  wire::writer_history out;
  out.incarnation = static_cast<std::int64_t>(history.incarnation);
  out.highest = static_cast<std::int64_t>(history.highest);
  out.missing.assign(history.missing.begin(), history.missing.end());
  out.last_offset = history.last_offset;
  return out;
}

writer_history from_wire(const wire::writer_history& history) {
  writer_history out;
  out.incarnation = static_cast<std::uint64_t>(history.incarnation);
  out.highest = static_cast<std::uint64_t>(history.highest);
  out.missing.insert(history.missing.begin(), history.missing.end());
  out.last_offset = history.last_offset;
  return out;
}

}  // namespace vanillaladder::coordination::detail
