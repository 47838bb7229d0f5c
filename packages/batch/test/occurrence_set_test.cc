#include "batch/occurrence_set.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace vanillaladder::batch {

TEST_CASE("consecutive occurrences share a range") {
  occurrence_set set;
  for (int number : {4, 0, 2, 1, 4}) {
    set.insert(number);
  }
  CHECK(to_string(set) == "0-2,4-4");
  CHECK(set.size() == 4);
  CHECK(set.next_missing(0) == 3);
  CHECK(set.next_missing(4) == 5);
  set.insert(3);
  CHECK(to_string(set) == "0-4");
}

TEST_CASE("an occurrence set is unchanged after formatting and parsing") {
  bool holds = rc::check([](const std::set<std::uint16_t>& numbers) {
    occurrence_set set;
    for (int number : numbers) {
      set.insert(number);
    }
    RC_ASSERT(set.size() == static_cast<int>(numbers.size()));
    for (int number = 0; number < 100; ++number) {
      RC_ASSERT(set.contains(number) ==
                numbers.contains(static_cast<std::uint16_t>(number)));
    }
    if (!set.empty()) {
      RC_ASSERT(parse_occurrence_set(to_string(set)) == set);
    }
  });
  CHECK(holds);
}

TEST_CASE("a malformed occurrence set is rejected") {
  for (const char* text :
       {"", "1", "2-1", "0-1,1-2", "0-1,2-3", "3-4,0-1", "-1-2", "0-1,", "00-1",
        "0-100000", "0-99999999999"}) {
    INFO(text);
    CHECK_FALSE(parse_occurrence_set(text).has_value());
  }
}

}  // namespace vanillaladder::batch
