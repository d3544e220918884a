#include "core/membership/news_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace jujuberock::membership {

namespace {

// Copies for each doubling of the zone. With one probe and one answer per
// second, two reach a zone of 41 hosts with a margin for lost messages.
constexpr size_t kCopies = 2;

std::string SubjectOf(const News& news) {
  if (const auto* host = std::get_if<HostNews>(&news))
    return "h" + host->name;
  if (const auto* leaving = std::get_if<LeavingNews>(&news))
    return "e" + leaving->endpoint;
  const auto& zone = std::get<ZoneNews>(news);
  return "z" + zone.zone + "/" + zone.author;
}

}  // namespace

void NewsQueue::Add(const News& news) {
  this->waiting[SubjectOf(news)] = {news, 0};
}

std::vector<News> NewsQueue::Take(size_t bytes, size_t zone_size) {
  const size_t limit = kCopies * std::bit_width(zone_size + 1);
  std::vector<std::pair<size_t, std::string>> order;
  for (const auto& [subject, item] : this->waiting)
    order.emplace_back(item.sent, subject);
  std::sort(order.begin(), order.end());
  std::vector<News> taken;
  size_t used = 0;
  for (const auto& [sent, subject] : order) {
    Item& item = this->waiting.at(subject);
    const size_t size = SizeOf(item.news);
    // The first piece always goes, or one that is too large would stay for
    // ever.
    if (!taken.empty() && used + size > bytes)
      continue;
    used += size;
    taken.push_back(item.news);
    if (++item.sent >= limit)
      this->waiting.erase(subject);
  }
  return taken;
}

}  // namespace jujuberock::membership
