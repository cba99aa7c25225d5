#include "Soak/BookingDaemon.h"

#include <utility>

namespace bulrushfold {

namespace {
constexpr Duration kTimerInterval = std::chrono::milliseconds(20);
constexpr Duration kReplyTimeout = std::chrono::seconds(2);
// For the defect "dispatch-before-commit": maximum delay of the write after its
// early confirmation.
constexpr std::uint64_t kMaxLateCommitUs = 2'000'000;
constexpr double kDefectChance = 0.05;

bool
IsHead(const std::string& aKey)
{
  return aKey.find("/shard-") != std::string::npos;
}

/** For the defect "trim-without-mark": removes the trim mark from a head. */
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
                             const Callbacks& aCallbacks)
  : mContext(aContext)
  , mProcess(aContext, std::move(aName))
  , mClock(aContext.mClock)
  , mOptions(aOptions)
  , mStore(aStore)
  , mNetwork(aNetwork)
  , mCallbacks(aCallbacks)
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
    options.mTableLimits = mOptions.mTableLimits;
    mShards.push_back(
      std::make_unique<BookingShard>(std::move(options), mClock));
  }
  ScheduleTimer();
}

void
BookingDaemon::Restart()
{
  mProcess.Restart();
  Build();
}

void
BookingDaemon::ScheduleTimer()
{
  mProcess.Post(kTimerInterval, [this] {
    ExecuteActions(mRegistry->OnTimer());
    for (std::uint64_t i = 0; i < mShards.size(); ++i) {
      ExecuteActions(i, mShards[i]->OnTimer());
    }
    ScheduleTimer();
  });
}

void
BookingDaemon::UpdateOwnership()
{
  for (std::uint64_t i = 0; i < mShards.size(); ++i) {
    const bool own = mCallbacks.mOwner(*this, i) == this;
    ExecuteActions(i, own ? mShards[i]->Acquire() : mShards[i]->Resign());
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
  ExecuteActions(mRegistry->Begin(
    aRequest, aKey, digest, mContext.mClock.Now() + aDeadline));
}

void
BookingDaemon::OnAnswer(const std::string& aRequest,
                        const wire::BookingAnswer& aAnswer)
{
  ExecuteActions(mRegistry->OnAnswer(aRequest, aAnswer));
}

void
BookingDaemon::OnNotSent(const std::string& aRequest)
{
  ExecuteActions(mRegistry->OnNotSent(aRequest, "connect_failed"));
}

void
BookingDaemon::OnInterrupted(const std::string& aRequest)
{
  if (mContext.mDefect == "lost-answer-as-not-run") {
    OnNotSent(aRequest);
    return;
  }
  ExecuteActions(mRegistry->OnInterrupted(aRequest, "connection_lost"));
}

void
BookingDaemon::ExecuteActions(const RegistryActions& aActions)
{
  for (const auto& it : aActions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, it);
  }
}

void
BookingDaemon::Execute(const SendBegin& aAction)
{
  wire::BookingBegin begin = aAction.mBegin;
  if (mContext.mDefect == "permit-any-request") {
    begin.request = begin.key;
    begin.holder = "any";
  }
  // Passes on only the first of the reply, its duplicates and the timeout.
  auto done = std::make_shared<bool>(false);
  const auto finish = [this, done, request = aAction.mRequest](
                        const absl::StatusOr<wire::BookingBeginReply>& aReply) {
    if (!std::exchange(*done, true)) {
      ExecuteActions(mRegistry->OnBeginReply(request, aReply));
    }
  };
  mProcess.Post(kReplyTimeout,
                [finish] { finish(absl::UnavailableError("no reply")); });
  BookingDaemon* owner = mCallbacks.mOwner(*this, aAction.mShard);
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
BookingDaemon::Execute(const SendResult& aAction)
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
        ExecuteActions(mRegistry->OnResultReply(request, aReply));
      }
    };
  mProcess.Post(kReplyTimeout,
                [finish] { finish(absl::UnavailableError("no reply")); });
  BookingDaemon* owner = mCallbacks.mOwner(*this, aAction.mShard);
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
BookingDaemon::Execute(const DispatchCall& aAction)
{
  mCallbacks.mDispatch(*this, aAction);
  if (mContext.mDefect == "dispatch-twice" &&
      mContext.mRandom.Bernoulli(kDefectChance)) {
    mCallbacks.mDispatch(*this, aAction);
  }
}

void
BookingDaemon::Execute(const AnswerCaller& aAction)
{
  mCallbacks.mAnswer(*this, aAction);
  if (mContext.mDefect == "answer-twice" &&
      mContext.mRandom.Bernoulli(kDefectChance)) {
    mCallbacks.mAnswer(*this, aAction);
  }
}

void
BookingDaemon::ReceiveBegin(std::uint64_t aShard,
                            const wire::BookingBegin& aBegin,
                            const BeginCallback& aCallback)
{
  mBegins[++mLastToken] = aCallback;
  ExecuteActions(aShard, mShards[aShard]->Begin(mLastToken, aBegin));
}

void
BookingDaemon::ReceiveResult(std::uint64_t aShard,
                             const wire::BookingResult& aResult,
                             const ResultCallback& aCallback)
{
  mResults[++mLastToken] = aCallback;
  ExecuteActions(aShard, mShards[aShard]->Result(mLastToken, aResult));
}

void
BookingDaemon::ExecuteActions(std::uint64_t aShard,
                              const BookingActions& aActions)
{
  for (const auto& it : aActions) {
    ExecuteShardAction(aShard, it);
  }
}

void
BookingDaemon::ExecuteShardAction(std::uint64_t aShard,
                                  const BookingAction& aAction)
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
      [this, aShard, op, writer = mProcess.Writer()](const auto& aReply) {
        if (writer == mProcess.Writer()) {
          mProcess.Post(Duration{}, [this, aShard, op, aReply] {
            ExecuteActions(aShard, mShards[aShard]->OnRead(op, aReply));
          });
        }
      });
  } else if (const auto* write = std::get_if<WriteObject>(&aAction)) {
    Write(aShard, *write);
  } else if (const auto* erase = std::get_if<DeleteObject>(&aAction)) {
    const auto op = erase->mOperation;
    mStore.Delete(
      erase->mKey,
      [this, aShard, op, writer = mProcess.Writer()](const auto& aReply) {
        if (writer == mProcess.Writer()) {
          mProcess.Post(Duration{}, [this, aShard, op, aReply] {
            ExecuteActions(aShard, mShards[aShard]->OnDeleted(op, aReply));
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
    WriteWithEarlyConfirmation(aShard, aAction);
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
    [this, aShard, op, writer = mProcess.Writer()](const auto& aReply) {
      if (writer == mProcess.Writer()) {
        mProcess.Post(Duration{}, [this, aShard, op, aReply] {
          ExecuteActions(aShard, mShards[aShard]->OnWritten(op, aReply));
        });
      }
    });
}

void
BookingDaemon::WriteWithEarlyConfirmation(std::uint64_t aShard,
                                          const WriteObject& aAction)
{
  const auto op = aAction.mOperation;
  const auto version = *aAction.mExpected + 1;
  mProcess.Post(Duration(1), [this, aShard, op, version] {
    ExecuteActions(aShard, mShards[aShard]->OnWritten(op, version));
  });
  mProcess.Post(
    Duration(mContext.mRandom.UniformBelow(kMaxLateCommitUs)), [this, aAction] {
      mStore.Put(
        aAction.mKey, aAction.mBody, aAction.mExpected, [](const auto&) {});
    });
}

} // namespace bulrushfold
