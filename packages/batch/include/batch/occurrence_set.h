#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace vanillaladder::batch {

/// Numbers of the occurrences of a job, kept as ranges: those that are complete
/// are mostly consecutive.
class occurrence_set {
 public:
  /// Adds a number; does nothing if the set contains it.
  /// @param number not negative.
  void insert(int number);
  void insert(const occurrence_set& other);
  bool contains(int number) const;
  /// @return the lowest number that is at least `from` and not in the set.
  int next_missing(int from) const;
  int size() const { return size_; }
  bool empty() const { return size_ == 0; }

  /// @return the ranges in ascending order, such as "0-17,19-19".
  friend std::string to_string(const occurrence_set& set);
  bool operator==(const occurrence_set&) const = default;

 private:
  using range = std::map<int, int>::const_iterator;

  /// @return the range that contains the number, or the end.
  range find(int number) const;

  /// First and last number of each range. Ranges don't touch.
  std::map<int, int> ranges_;
  int size_ = 0;
};

/// Parses the format of `to_string`.
/// @return the set, or nothing if the text is invalid or has a number that is
///   not below `max_occurrences`.
std::optional<occurrence_set> parse_occurrence_set(std::string_view text);

}  // namespace vanillaladder::batch
