#include "StandIns/Searcher/SearcherCodec.h"

#include "StandIns/Http/JsonText.h"

namespace acaciacross::standins {

namespace {

std::int64_t toMicroseconds(common::WallTime When) {
  return std::chrono::floor<std::chrono::microseconds>(When.time_since_epoch())
      .count();
}

} // namespace

template <typename Archive> void serialize(Archive &Ar, Execution &Entry) {
  Ar(cereal::make_nvp("searcher", Entry.Searcher),
     cereal::make_nvp("request_id", Entry.RequestId),
     cereal::make_nvp("attempt_id", Entry.AttemptId),
     cereal::make_nvp("class", Entry.ClassName),
     cereal::make_nvp("snapshot", Entry.Snapshot),
     cereal::make_nvp("shard", Entry.Shard),
     cereal::make_nvp("started_unix_us", toMicroseconds(Entry.StartedAt)),
     cereal::make_nvp("finished_unix_us", toMicroseconds(Entry.FinishedAt)),
     cereal::make_nvp("cancelled", Entry.IsCancelled));
}

template <typename Archive>
void serialize(Archive &Ar, SearcherCounters &Counters) {
  Ar(cereal::make_nvp("searcher", Counters.Searcher),
     cereal::make_nvp("connections_open", Counters.ConnectionsOpen),
     cereal::make_nvp("connections_peak", Counters.ConnectionsPeak),
     cereal::make_nvp("connections_accepted", Counters.ConnectionsAccepted),
     cereal::make_nvp("connections_refused", Counters.ConnectionsRefused),
     cereal::make_nvp("attempts", Counters.Attempts),
     cereal::make_nvp("executions", Counters.Executions),
     cereal::make_nvp("cancelled", Counters.Cancelled),
     cereal::make_nvp("shed", Counters.Shed),
     cereal::make_nvp("deadline_passed", Counters.DeadlinePassed));
}

namespace {

struct ReplyBody {
  SearchReply Reply;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("attempt_id", this->Reply.AttemptId),
       cereal::make_nvp("snapshot", this->Reply.Snapshot),
       cereal::make_nvp("shard", this->Reply.Shard),
       cereal::make_nvp("range_begin", this->Reply.Range.Begin),
       cereal::make_nvp("range_end", this->Reply.Range.End),
       cereal::make_nvp("body", this->Reply.Body));
  }
};

struct HealthBody {
  HealthPage Page;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("status", this->Page.Status),
       cereal::make_nvp("snapshots", this->Page.Snapshots),
       cereal::make_nvp("cold", this->Page.IsCold));
  }
};

struct LoadBody {
  LoadPage Page;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("busy", this->Page.Busy),
       cereal::make_nvp("queued", this->Page.Queued),
       cereal::make_nvp("slots", this->Page.Slots));
  }
};

struct RecordBody {
  std::vector<Execution> Executions;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("executions", this->Executions));
  }
};

struct CountersBody {
  std::vector<SearcherCounters> Searchers;
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(cereal::make_nvp("searchers", this->Searchers));
  }
};

} // namespace

std::string SearcherCodec::encode(const SearchReply &Reply) {
  ReplyBody Body{Reply};
  return toJson(Body);
}

std::string SearcherCodec::encode(const HealthPage &Page) {
  HealthBody Body{Page};
  return toJson(Body);
}

std::string SearcherCodec::encode(const LoadPage &Page) {
  LoadBody Body{Page};
  return toJson(Body);
}

std::string SearcherCodec::encode(const std::vector<Execution> &Executions) {
  RecordBody Body{Executions};
  return toJson(Body);
}

std::string
SearcherCodec::encode(const std::vector<SearcherCounters> &Counters) {
  CountersBody Body{Counters};
  return toJson(Body);
}

} // namespace acaciacross::standins
