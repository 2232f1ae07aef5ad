// A simulator for the state service, after its published protocol: transactions on conditions,
// leases, watches, and the ways in which it may lose something. Time comes in, in milliseconds.
#pragma once
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hitchfront::simulators {

struct Response {
  int status = 0;
  std::string body;
};
using Answer = std::function<void(const Response&)>;

// The value of a query parameter, or "".
std::string query(const std::string& path, const std::string& name);

class Store {
 public:
  // A request; `answer` is called once, at once or, for a watch, later.
  void handle(std::int64_t now, const std::string& method, const std::string& path,
              const std::string& body, Answer answer);
  void tick(std::int64_t now);  // ends leases, answers watches
  // In an outage every request is refused, and no lease ends.
  void set_outage(std::int64_t now, bool outage);
  bool outage() const { return outage_; }
  std::size_t keys() const { return items_.size(); }
  // None: there is no such key.
  const nlohmann::json* value(const std::string& key) const;
  // Everything below a prefix, as it stands there.
  void each(
      const std::string& prefix,
      const std::function<void(const std::string& key, const nlohmann::json& value)>& visit) const;
  std::size_t written(
      const std::string& prefix) const;  // puts and deletes so far of keys with this first part
  std::uint64_t changes() const { return changes_; }  // puts and deletes so far
  // Called for each value that a transaction has just set.
  std::function<void(const std::string& key, const nlohmann::json& value)> on_set;
  int txn_ops = 12;  // changes of a transaction, at the most
  std::size_t value_bytes = 32 * 1024;
  std::size_t too_large = 0;  // transactions refused for one of these two limits
  // Losses. A copy of any moment can be kept and put back, with its revision, its change log and
  // its leases, which then have their full time; or everything goes.
  struct Kept;
  std::shared_ptr<const Kept> keep() const;
  void put_back(std::int64_t now, const Kept& kept);
  void lose_all(std::int64_t now);

 private:
  struct Item {
    nlohmann::json value;
    std::uint64_t version = 0, lease = 0;
  };
  struct Lease {
    std::int64_t ttl = 0, until = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    bool deleted;
    nlohmann::json value;
  };
  struct Watch {
    std::string prefix;
    std::uint64_t after;
    std::int64_t until;
    Answer answer;
  };
  Response txn(const std::string& body);
  // What is wrong with the changes, whatever the conditions; none: nothing.
  std::optional<Response> refusal(const nlohmann::json& changes);
  nlohmann::json failed_conditions(const nlohmann::json& conditions) const;
  void carry_out(const nlohmann::json& change);
  Response lease_call(std::int64_t now, const std::string& method, const std::string& path,
                      const std::string& body);
  Response read(const std::string& path) const;
  // True: it is answered, and over.
  bool answer_watch(Watch& w, bool expired);
  // Answers the watches that a change concerns.
  void changed();

  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Lease> leases_;
  static constexpr std::size_t kKept = 10'000;  // changes (PROTOCOL)
  std::deque<Change> log_;
  std::uint64_t forgotten_ = 0;  // revision of the newest change no longer kept
  std::vector<Watch> watches_;
  std::map<std::string, std::size_t, std::less<>>
      written_;  // by the part of the key up to its first slash
  std::uint64_t revision_ = 0, next_lease_ = 1, changes_ = 0;
  bool outage_ = false;
};

struct Store::Kept {
  std::map<std::string, Item> items;
  std::map<std::uint64_t, Lease> leases;
  std::deque<Change> log;
  std::uint64_t forgotten = 0, revision = 0, next_lease = 1;
};

}  // namespace hitchfront::simulators
