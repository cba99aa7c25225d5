#include "Soak/BookingDaemon.h"

#include <utility>

namespace bulrushfold {

namespace {
constexpr Duration kTurn = std::chrono::milliseconds(20);
constexpr Duration kReplyTimeout = std::chrono::seconds(2);
// For the defect "dispatch-before-commit": when the write really happens.
constexpr std::uint64_t kLateCommitUs = 2'000'000;
constexpr double kDefectChance = 0.05;

bool
IsHead(const std::string& aKey)
{
  return aKey.find("/shard-") != std::string::npos;
}

/** For the defect "trim-without-mark". */
std::string
WithoutTrimMark(const std::string& aBody)
{
  auto head = DecodeHead(aBody);
  if (!head.ok()) {
    return aBody;
  }
  head->trimmedBefore = 0;
  return EncodeHead(*head);
}
} // namespace

BookingDaemon::BookingDaemon(SoakContext& aContext,
                             std::string aName,
                             const Options& aOptions,
                             FaultyStore& aStore,
                             FaultyNetwork& aNetwork,
                             const Hooks& aHooks)
  : mContext(aContext)
  , mProcess(aContext, std::move(aName))
  , mClock(aContext.mClock)
  , mOptions(aOptions)
  , mStore(aStore)
  , mNetwork(aNetwork)
  , mHooks(aHooks)
{
  Build();
}

void
BookingDaemon::Build()
{
  mBegins.clear();
  mResults.clear();
  mShards.clear();
  mRegistry = std::make_unique<BookingRegistry>(
    BookingRegistryOptions{ mProcess.Writer(), mOptions.mBookings }, mClock);
  for (std::uint64_t i = 0; i < mOptions.mBookings.mShards; ++i) {
    BookingShardOptions options;
    options.mShard = i;
    options.mWriter = mProcess.Writer();
    options.mBookings = mOptions.mBookings;
    options.mClockGapLimit = mOptions.mClockGapLimit;
    options.mTable = mOptions.mTable;
    mShards.push_back(
      std::make_unique<BookingShard>(std::move(options), mClock));
  }
  ScheduleTurn();
}

void
BookingDaemon::Restart()
{
  mProcess.Restart();
  Build();
}

void
BookingDaemon::ScheduleTurn()
{
  mProcess.Post(kTurn, [this] {
    Run(mRegistry->OnTimer());
    for (std::uint64_t i = 0; i < mShards.size(); ++i) {
      Run(i, mShards[i]->OnTimer());
    }
    ScheduleTurn();
  });
}

void
BookingDaemon::UpdateOwnership()
{
  for (std::uint64_t i = 0; i < mShards.size(); ++i) {
    const bool own = mHooks.mOwner(*this, i) == this;
    Run(i, own ? mShards[i]->Acquire() : mShards[i]->Resign());
  }
}

void
BookingDaemon::Begin(const std::string& aRequest,
                     const std::string& aKey,
                     const std::string& aDigest,
                     Duration aDeadline)
{
  const std::string digest =
    mContext.mDefect == "ignore-body" ? "same" : aDigest;
  Run(mRegistry->Begin(
    aRequest, aKey, digest, mContext.mClock.Now() + aDeadline));
}

void
BookingDaemon::OnAnswer(const std::string& aRequest,
                        const wire::BookingAnswer& aAnswer)
{
  Run(mRegistry->OnAnswer(aRequest, aAnswer));
}

void
BookingDaemon::OnNotSent(const std::string& aRequest)
{
  Run(mRegistry->OnNotSent(aRequest, "connect_failed"));
}

void
BookingDaemon::OnInterrupted(const std::string& aRequest)
{
  if (mContext.mDefect == "lost-answer-as-not-run") {
    OnNotSent(aRequest);
    return;
  }
  Run(mRegistry->OnInterrupted(aRequest, "connection_lost"));
}

void
BookingDaemon::Run(const RegistryActions& aActions)
{
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { RunOne(aAction); }, it);
  }
}

void
BookingDaemon::RunOne(const SendBegin& aAction)
{
  wire::BookingBegin begin = aAction.mBegin;
  if (mContext.mDefect == "permit-any-request") {
    begin.request = begin.key;
    begin.holder = "any";
  }
  // A reply or its timeout, whichever comes first, also for duplicates.
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, done, request = aAction.mRequest](
                        const absl::StatusOr<wire::BookingBeginReply>& aReply) {
    if (!std::exchange(*done, true)) {
      Run(mRegistry->OnBeginReply(request, aReply));
    }
  };
  mProcess.Post(kReplyTimeout,
                [finish] { finish(absl::UnavailableError("no reply")); });
  BookingDaemon* owner = mHooks.mOwner(*this, aAction.mShard);
  if (owner == nullptr) {
    return;
  }
  mNetwork.Send(
    owner->Process(), [this, owner, shard = aAction.mShard, begin, finish] {
      owner->ReceiveBegin(
        shard, begin, [this, finish](const wire::BookingBeginReply& aReply) {
          mNetwork.Send(mProcess, [finish, aReply] { finish(aReply); });
        });
    });
}

void
BookingDaemon::RunOne(const SendResult& aAction)
{
  wire::BookingResult result = aAction.mResult;
  if (mContext.mDefect == "permit-any-request") {
    result.request = result.key;
  }
  auto done = std::make_shared<bool>(false);
  const auto finish =
    [this, done, request = aAction.mRequest](
      const absl::StatusOr<wire::BookingResultReply>& aReply) {
      if (!std::exchange(*done, true)) {
        Run(mRegistry->OnResultReply(request, aReply));
      }
    };
  mProcess.Post(kReplyTimeout,
                [finish] { finish(absl::UnavailableError("no reply")); });
  BookingDaemon* owner = mHooks.mOwner(*this, aAction.mShard);
  if (owner == nullptr) {
    return;
  }
  mNetwork.Send(
    owner->Process(), [this, owner, shard = aAction.mShard, result, finish] {
      owner->ReceiveResult(
        shard, result, [this, finish](const wire::BookingResultReply& aReply) {
          mNetwork.Send(mProcess, [finish, aReply] { finish(aReply); });
        });
    });
}

void
BookingDaemon::RunOne(const DispatchCall& aAction)
{
  mHooks.mDispatch(*this, aAction);
  if (mContext.mDefect == "dispatch-twice" &&
      mContext.mRandom.Bernoulli(kDefectChance)) {
    mHooks.mDispatch(*this, aAction);
  }
}

void
BookingDaemon::RunOne(const AnswerCaller& aAction)
{
  mHooks.mAnswer(*this, aAction);
  if (mContext.mDefect == "answer-twice" &&
      mContext.mRandom.Bernoulli(kDefectChance)) {
    mHooks.mAnswer(*this, aAction);
  }
}

void
BookingDaemon::ReceiveBegin(std::uint64_t aShard,
                            const wire::BookingBegin& aBegin,
                            const BeginHook& aHook)
{
  mBegins[++mLastToken] = aHook;
  Run(aShard, mShards[aShard]->Begin(mLastToken, aBegin));
}

void
BookingDaemon::ReceiveResult(std::uint64_t aShard,
                             const wire::BookingResult& aResult,
                             const ResultHook& aHook)
{
  mResults[++mLastToken] = aHook;
  Run(aShard, mShards[aShard]->Result(mLastToken, aResult));
}

void
BookingDaemon::Run(std::uint64_t aShard, const BookingActions& aActions)
{
  for (const auto& it : aActions) {
    RunShard(aShard, it);
  }
}

void
BookingDaemon::RunShard(std::uint64_t aShard, const BookingAction& aAction)
{
  if (const auto* begin = std::get_if<ReplyToBegin>(&aAction)) {
    if (const auto node = mBegins.extract(begin->mToken); !node.empty()) {
      node.mapped()(begin->mReply);
    }
  } else if (const auto* result = std::get_if<ReplyToResult>(&aAction)) {
    if (const auto node = mResults.extract(result->mToken); !node.empty()) {
      node.mapped()(result->mReply);
    }
  } else if (const auto* read = std::get_if<ReadObject>(&aAction)) {
    const auto op = read->mOperation;
    mStore.Get(
      read->mKey,
      [this, aShard, op, writer = mProcess.Writer()](const auto& aAnswer) {
        if (writer == mProcess.Writer()) {
          mProcess.Post(Duration{}, [this, aShard, op, aAnswer] {
            Run(aShard, mShards[aShard]->OnRead(op, aAnswer));
          });
        }
      });
  } else if (const auto* write = std::get_if<WriteObject>(&aAction)) {
    Write(aShard, *write);
  } else if (const auto* erase = std::get_if<DeleteObject>(&aAction)) {
    const auto op = erase->mOperation;
    mStore.Delete(
      erase->mKey,
      [this, aShard, op, writer = mProcess.Writer()](const auto& aAnswer) {
        if (writer == mProcess.Writer()) {
          mProcess.Post(Duration{}, [this, aShard, op, aAnswer] {
            Run(aShard, mShards[aShard]->OnDeleted(op, aAnswer));
          });
        }
      });
  }
}

void
BookingDaemon::Write(std::uint64_t aShard, const WriteObject& aAction)
{
  const bool head = IsHead(aAction.mKey);
  std::optional<std::uint64_t> expected = aAction.mExpected;
  std::string body = aAction.mBody;
  if (head && expected && mContext.mDefect == "dispatch-before-commit") {
    WriteEarlyAck(aShard, aAction);
    return;
  }
  if (head && mContext.mDefect == "ignore-version-conflict") {
    const auto current = mStore.Data().Get(aAction.mKey);
    expected = current.ok() ? std::optional(current->mVersion) : std::nullopt;
  }
  if (head && mContext.mDefect == "trim-without-mark") {
    body = WithoutTrimMark(body);
  }
  const auto op = aAction.mOperation;
  mStore.Put(
    aAction.mKey,
    body,
    expected,
    [this, aShard, op, writer = mProcess.Writer()](const auto& aAnswer) {
      if (writer == mProcess.Writer()) {
        mProcess.Post(Duration{}, [this, aShard, op, aAnswer] {
          Run(aShard, mShards[aShard]->OnWritten(op, aAnswer));
        });
      }
    });
}

void
BookingDaemon::WriteEarlyAck(std::uint64_t aShard, const WriteObject& aAction)
{
  const auto op = aAction.mOperation;
  const auto version = *aAction.mExpected + 1;
  mProcess.Post(Duration(1), [this, aShard, op, version] {
    Run(aShard, mShards[aShard]->OnWritten(op, version));
  });
  mProcess.Post(
    Duration(mContext.mRandom.UniformBelow(kLateCommitUs)), [this, aAction] {
      mStore.Put(
        aAction.mKey, aAction.mBody, aAction.mExpected, [](const auto&) {});
    });
}

} // namespace bulrushfold
