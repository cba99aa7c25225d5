#include "Cluster/ConfigCoverage.h"

namespace bulrushfold {

ConfigCoverage::ConfigCoverage(const Membership& aMembership,
                               const Dissemination& aDissemination)
  : mMembership(aMembership)
  , mDissemination(aDissemination)
{
}

void
ConfigCoverage::Start(const std::string& aChangeId,
                      const std::string& aKey,
                      std::uint64_t aVersion,
                      Instant aNow)
{
  Question question;
  question.mStatus.mKey = aKey;
  question.mStatus.mVersion = aVersion;
  question.mNextRound = aNow + kFirstAsk;
  question.mEnd = aNow + kMaxWait;
  mQuestions[aChangeId] = question;
  Refresh(mQuestions[aChangeId], aNow);
}

void
ConfigCoverage::OnDigest(const std::string& aFrom,
                         const wire::ConfigDigest& aMessage)
{
  for (auto& [id, question] : mQuestions) {
    for (const auto& it : aMessage.versions) {
      if (it.version > 0 && it.key == question.mStatus.mKey &&
          static_cast<std::uint64_t>(it.version) >= question.mStatus.mVersion) {
        question.mConfirmed.insert(aFrom);
      }
    }
  }
}

void
ConfigCoverage::Refresh(Question& aQuestion, Instant aNow) const
{
  auto& status = aQuestion.mStatus;
  status.mMissing.clear();
  status.mInForce =
    mDissemination.Version(status.mKey) >= status.mVersion ? 1 : 0;
  for (const auto& it : mMembership.LivePeers()) {
    if (aQuestion.mConfirmed.count(it) != 0) {
      ++status.mInForce;
    } else {
      status.mMissing.push_back(it);
    }
  }
  status.mUnreachable = mMembership.UnreachablePeers();
  status.mIsFinal = status.mMissing.empty() || aNow >= aQuestion.mEnd;
}

void
ConfigCoverage::Ask(Question& aQuestion, Instant aNow, Outbox& aOutbox) const
{
  if (aNow >= aQuestion.mNextRound) {
    aQuestion.mNextRound = aNow + kAskAgain;
    aQuestion.mToAsk = aQuestion.mStatus.mMissing;
  }
  for (std::size_t i = 0; i < kBatch && !aQuestion.mToAsk.empty(); ++i) {
    auto digest = mDissemination.MakeDigest(false, false);
    digest.askedKey = aQuestion.mStatus.mKey;
    aOutbox.push_back({ aQuestion.mToAsk.back(), std::move(digest) });
    aQuestion.mToAsk.pop_back();
  }
}

Outbox
ConfigCoverage::Tick(Instant aNow)
{
  Outbox outbox;
  for (auto it = mQuestions.begin(); it != mQuestions.end();) {
    Question& question = it->second;
    if (!question.mStatus.mIsFinal) {
      Refresh(question, aNow);
    }
    if (!question.mStatus.mIsFinal) {
      Ask(question, aNow, outbox);
    }
    const bool isOld =
      question.mStatus.mIsFinal && aNow - question.mEnd > kKeep;
    it = isOld ? mQuestions.erase(it) : std::next(it);
  }
  return outbox;
}

const CoverageStatus*
ConfigCoverage::Find(const std::string& aChangeId) const
{
  const auto it = mQuestions.find(aChangeId);
  return it == mQuestions.end() ? nullptr : &it->second.mStatus;
}

} // namespace bulrushfold
