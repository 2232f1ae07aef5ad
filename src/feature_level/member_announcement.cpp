#include "feature_level/member_announcement.hpp"

#include "settings/constants.hpp"
#include "wire/http_status.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using wire::http_status::kNotFound;
using wire::http_status::kOk;

MemberAnnouncement::MemberAnnouncement(StoreClient& store, wire::Announcement self,
                                       OnResult on_result)
    : store_(store), self_(std::move(self)), on_result_(std::move(on_result)) {}

void MemberAnnouncement::announce(Ms now) {
  if (announcing_) return;
  announcing_ = true;
  store_.acquire_lease(now, static_cast<std::uint32_t>(kMemberLeaseTtlMs),
                       [this](Ms t, std::optional<std::uint64_t> lease) {
                         if (!lease) return finish(t, Result::failed);
                         read_former(t, *lease);
                       });
}

void MemberAnnouncement::read_former(Ms now, std::uint64_t lease) {
  store_.get(now, Rank::lease, wire::member_key(self_.node),
             [this, lease](Ms t, int status, std::string_view body) {
               const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
               if (!item && status != kNotFound) return finish(t, Result::failed);
               write(t, lease, item ? item->version : 0);
             });
}

// Conditioned on the feature level as read, by the store client, and on what stood there: a former
// process's late write can't take the place of this one's. From the write on a switch is
// conditioned on this very announcement.
void MemberAnnouncement::write(Ms now, std::uint64_t lease, std::uint64_t former_version) {
  const auto key = wire::member_key(self_.node);
  wire::Txn txn;
  txn.if_version(key, former_version).put(key, wire::encode(self_), lease);
  store_.commit(now, Rank::lease, txn, [this, lease](Ms t, int status, std::string_view) {
    if (status != kOk) return finish(t, Result::failed);
    lease_ = lease;
    renew_at_ = t + kMemberLeaseRenewalIntervalMs;
    finish(t, Result::announced);
  });
}

void MemberAnnouncement::finish(Ms now, Result result) {
  announcing_ = false;
  on_result_(now, result);
}

void MemberAnnouncement::renew_if_due(Ms now) {
  if (renew_at_ == 0 || now < renew_at_) return;
  renew_at_ = now + kMemberLeaseRenewalIntervalMs;
  store_.call(now, Rank::lease, Method::post, wire::touch_path(lease_), "{}",
              [this](Ms t, int status, std::string_view) {
                if (status == kNotFound) on_result_(t, Result::expired);
              });
}

}  // namespace hitchfront::core
