#ifndef PLATFORM_STORE_ANSWER_H_
#define PLATFORM_STORE_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/object_store.h"

namespace jujuberock::platform_adapter {

// Decodes the bodies of the store's answers. Anyone may write an object, so
// each is read for itself: one that can't be read has a catalog::ObjectFault,
// and the others are not affected.

// One page of a list of objects.
struct ListPage {
  std::vector<catalog::StoredObject> objects;
  uint64_t revision = 0;
  // Whether further objects follow those of this page.
  bool more = false;

  // Returns the last name that can be read, behind which the next page begins;
  // empty if there is none.
  std::string_view LastName() const;
};

// Throws common::Error kProtocolError if the body is not a list of objects.
ListPage DecodeListPage(std::string_view body);

// Throws common::Error kProtocolError if the body is not a list of events.
catalog::ObjectChanges DecodeWatchAnswer(std::string_view body);

catalog::StoredObject DecodeStoredObject(std::string_view text);

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_STORE_ANSWER_H_
