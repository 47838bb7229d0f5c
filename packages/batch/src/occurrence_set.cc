#include "batch/occurrence_set.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <iterator>
#include <vector>

#include "batch/job.h"

namespace vanillaladder::batch {

occurrence_set::range occurrence_set::find(int number) const {
  auto after = ranges_.upper_bound(number);
  if (after == ranges_.begin()) {
    return ranges_.end();
  }
  auto found = std::prev(after);
  return found->second >= number ? found : ranges_.end();
}

bool occurrence_set::contains(int number) const {
  return find(number) != ranges_.end();
}

int occurrence_set::next_missing(int from) const {
  auto found = find(from);
  return found == ranges_.end() ? from : found->second + 1;
}

void occurrence_set::insert(int number) {
  if (contains(number)) {
    return;
  }
  ++size_;
  auto after = ranges_.upper_bound(number);
  int last = number;
  if (after != ranges_.end() && after->first == number + 1) {
    last = after->second;
    after = ranges_.erase(after);
  }
  if (after != ranges_.begin()) {
    if (auto before = std::prev(after); before->second == number - 1) {
      before->second = last;
      return;
    }
  }
  ranges_.emplace(number, last);
}

void occurrence_set::insert(const occurrence_set& other) {
  for (const auto& [first, last] : other.ranges_) {
    for (int number = first; number <= last; ++number) {
      insert(number);
    }
  }
}

std::string to_string(const occurrence_set& set) {
  std::string text;
  for (const auto& [first, last] : set.ranges_) {
    absl::StrAppend(&text, text.empty() ? "" : ",", first, "-", last);
  }
  return text;
}

std::optional<occurrence_set> parse_occurrence_set(std::string_view text) {
  occurrence_set set;
  int next = 0;
  for (auto part :
       absl::StrSplit(absl::string_view(text.data(), text.size()), ',')) {
    std::vector<absl::string_view> ends = absl::StrSplit(part, '-');
    int first = 0;
    int last = 0;
    if (ends.size() != 2 || !absl::SimpleAtoi(ends[0], &first) ||
        !absl::SimpleAtoi(ends[1], &last) || first < next || last < first ||
        last >= max_occurrences) {
      return std::nullopt;
    }
    for (int number = first; number <= last; ++number) {
      set.insert(number);
    }
    next = last + 1;
  }
  return to_string(set) == text ? std::optional(set) : std::nullopt;
}

}  // namespace vanillaladder::batch
