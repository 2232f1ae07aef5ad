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
                       [this](Ms received_at, std::optional<std::uint64_t> lease) {
                         if (!lease) return finish(received_at, Result::failed);
                         read_previous(received_at, *lease);
                       });
}

void MemberAnnouncement::read_previous(Ms now, std::uint64_t lease) {
  store_.get(now, Rank::lease, wire::member_key(self_.node),
             [this, lease](Ms received_at, int status, std::string_view body) {
               const auto item = status == kOk ? wire::parse_item(body) : std::nullopt;
               if (!item && status != kNotFound) return finish(received_at, Result::failed);
               write(received_at, lease, item ? item->version : 0);
             });
}

// The store client adds the condition on the feature level that was read. The condition on the
// previous version prevents a delayed write of an earlier process from replacing this announcement.
// Once it is stored, a switch is conditioned on its version.
void MemberAnnouncement::write(Ms now, std::uint64_t lease, std::uint64_t previous_version) {
  const auto key = wire::member_key(self_.node);
  wire::Txn txn;
  txn.if_version(key, previous_version).put(key, wire::encode(self_), lease);
  store_.commit(now, Rank::lease, txn, [this, lease](Ms received_at, int status, std::string_view) {
    if (status != kOk) return finish(received_at, Result::failed);
    lease_ = lease;
    renew_at_ = received_at + kMemberLeaseRenewalIntervalMs;
    finish(received_at, Result::announced);
  });
}

void MemberAnnouncement::finish(Ms now, Result result) {
  announcing_ = false;
  on_result_(now, result);
}

void MemberAnnouncement::renew_if_due(Ms now) {
  if (renew_at_ == 0 || now < renew_at_) return;
  renew_at_ = now + kMemberLeaseRenewalIntervalMs;
  store_.call(now, Rank::lease, Method::post, wire::renew_lease_path(lease_), "{}",
              [this](Ms received_at, int status, std::string_view) {
                if (status == kNotFound) on_result_(received_at, Result::expired);
              });
}

}  // namespace hitchfront::core
