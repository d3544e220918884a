#ifndef CORE_FORWARD_SHARED_BODY_H_
#define CORE_FORWARD_SHARED_BODY_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace jujuberock::forward {

// The body of a request, held once. A copy shares the bytes, for a write that
// may outlive the request.
class SharedBody {
 public:
  SharedBody() = default;
  // Implicit, so that a body can be assigned like a string.
  SharedBody(std::string text)  // NOLINT(google-explicit-constructor)
      : text(text.empty()
                 ? nullptr
                 : std::make_shared<const std::string>(std::move(text))) {}

  std::string_view view() const {
    return this->text ? std::string_view(*this->text) : std::string_view();
  }

 private:
  std::shared_ptr<const std::string> text;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_SHARED_BODY_H_
