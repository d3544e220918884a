#include "core/journal/service.h"
#include "core/platform/client.h"

namespace jujuberock::journal {

namespace {

constexpr char kKind[] = "journal";

class PlatformStore : public Store {
 public:
  explicit PlatformStore(platform::Client& client) : client(client) {}

  std::optional<platform::Object> Read(const std::string& name) override {
    return this->client.Read(kKind, name);
  }

  platform::WriteResult Write(const std::string& name,
                              platform::Version expected,
                              const std::string& body,
                              const std::string& token) override {
    return this->client.Write(kKind, name, expected, body, token);
  }

  void Delete(const std::string& name) override {
    const std::optional<platform::Object> object = this->Read(name);
    if (object)
      this->client.Delete(kKind, name, object->version);
  }

 private:
  platform::Client& client;
};

}  // namespace

std::unique_ptr<Store> MakePlatformStore(platform::Client& client) {
  return std::make_unique<PlatformStore>(client);
}

}  // namespace jujuberock::journal
