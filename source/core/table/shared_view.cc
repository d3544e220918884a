#include "core/table/shared_view.h"

namespace jujuberock::table {

SharedView::SharedView(ViewOptions options)
    : view(options), current(this->view.snapshot()) {}

std::vector<Object> SharedView::Apply(const std::vector<Object>& objects) {
  return this->Merge([&](View* view) {
    std::vector<Object> changed;
    for (const Object& object : objects) {
      if (view->Apply(object))
        changed.push_back(object);
    }
    return changed;
  });
}

std::vector<Object> SharedView::ApplyList(Kind kind,
                                          const platform::ObjectList& list,
                                          bool keep_former) {
  return this->Merge(
      [&](View* view) { return view->ApplyList(kind, list, keep_former); });
}

std::vector<Object> SharedView::Merge(
    const std::function<std::vector<Object>(View*)>& merge) {
  std::vector<Object> changed;
  {
    const common::RankedLock lock(this->mutex);
    changed = merge(&this->view);
    if (!changed.empty())
      this->current.store(this->view.snapshot());
  }
  if (!changed.empty() && this->listener)
    this->listener(changed);
  return changed;
}

Digest SharedView::MakeDigest() const {
  const common::RankedLock lock(this->mutex);
  return this->view.digest();
}

DigestSummary SharedView::Summary() const {
  const common::RankedLock lock(this->mutex);
  return SummaryOf(this->view.digest());
}

Delta SharedView::DeltaSince(const Digest& other) const {
  const common::RankedLock lock(this->mutex);
  return this->view.DeltaSince(other);
}

std::vector<Object> SharedView::ObjectsNewerThan(Version after,
                                                 size_t limit_bytes) const {
  const common::RankedLock lock(this->mutex);
  return this->view.ObjectsNewerThan(after, limit_bytes);
}

std::optional<Object> SharedView::Find(std::string_view kind,
                                       std::string_view name) const {
  const common::RankedLock lock(this->mutex);
  const Object* found = this->view.Find(kind, name);
  return found ? std::optional<Object>(*found) : std::nullopt;
}

std::vector<InvalidObject> SharedView::InvalidObjects() const {
  const common::RankedLock lock(this->mutex);
  return this->view.InvalidObjects();
}

size_t SharedView::CountInvalidObjects() const {
  const common::RankedLock lock(this->mutex);
  return this->view.CountInvalidObjects();
}

size_t SharedView::size() const {
  const common::RankedLock lock(this->mutex);
  return this->view.size();
}

}  // namespace jujuberock::table
