#include "standin/platform_store.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jujuberock::standin {

using nlohmann::json;

namespace {

// Returns the text of an object with the fields of `head` and the body.
std::string RenderWithBody(const json& head, const std::string& body) {
  std::string text = head.dump();
  text.pop_back();
  return text + ",\"body\":" + body + "}";
}

}  // namespace

std::string StoredObject::ToJson() const {
  return RenderWithBody({{"kind", this->kind},
                         {"name", this->name},
                         {"version", this->version},
                         {"token", this->token}},
                        this->body);
}

std::string StoredObject::ToWatchJson() const {
  const json head = {{"kind", this->kind},
                     {"name", this->name},
                     {"version", this->version},
                     {"deleted", this->deleted},
                     {"token", this->token}};
  return this->deleted ? head.dump() : RenderWithBody(head, this->body);
}

const StoredObject* PlatformStore::Find(const std::string& kind,
                                        const std::string& name) const {
  const auto found = this->objects.find({kind, name});
  if (found == this->objects.end() || found->second.deleted)
    return nullptr;
  return &found->second;
}

uint64_t PlatformStore::VersionOf(const std::string& kind,
                                  const std::string& name) const {
  const StoredObject* object = this->Find(kind, name);
  return object ? object->version : 0;
}

std::optional<uint64_t> PlatformStore::Write(const std::string& kind,
                                             const std::string& name,
                                             uint64_t expected,
                                             const std::string& token,
                                             const std::string& body) {
  if (this->VersionOf(kind, name) != expected)
    return std::nullopt;
  StoredObject& object = this->objects[{kind, name}];
  object = {kind, name, ++this->last_version, false, token, body};
  return object.version;
}

std::optional<uint64_t> PlatformStore::Delete(const std::string& kind,
                                              const std::string& name,
                                              uint64_t expected) {
  if (expected == 0 || this->VersionOf(kind, name) != expected)
    return std::nullopt;
  StoredObject& object = this->objects[{kind, name}];
  object = {kind, name, ++this->last_version, true, "", ""};
  return object.version;
}

void PlatformStore::WriteAny(const std::string& kind,
                             const std::string& name,
                             const std::string& body) {
  this->Write(kind, name, this->VersionOf(kind, name), "", body);
}

std::vector<const StoredObject*> PlatformStore::List(
    const std::string& kind) const {
  std::vector<const StoredObject*> list;
  for (const auto& [key, object] : this->objects) {
    if (key.first == kind && !object.deleted)
      list.push_back(&object);
  }
  return list;
}

std::vector<const StoredObject*> PlatformStore::ChangesSince(
    const std::string& kind,
    uint64_t since) const {
  std::vector<const StoredObject*> changes;
  for (const auto& [key, object] : this->objects) {
    if (key.first == kind && object.version > since)
      changes.push_back(&object);
  }
  std::sort(changes.begin(), changes.end(),
            [](const StoredObject* a, const StoredObject* b) {
              return a->version < b->version;
            });
  return changes;
}

void PlatformStore::Copy() {
  this->copied_objects = this->objects;
  this->copied_version = this->last_version;
}

void PlatformStore::Restore() {
  this->objects = this->copied_objects;
  this->last_version = this->copied_version;
  ++this->current_era;
}

}  // namespace jujuberock::standin
