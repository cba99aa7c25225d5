#include "Cluster/ConfigController.h"

#include <algorithm>
#include <utility>

#include "Base/EnumNames.h"
#include "Cluster/RecentChanges.h"
#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
constexpr EnumNames<ChangeState, 8> kStateNames{ {
  { ChangeState::Writing, "writing" },
  { ChangeState::Unknown, "unknown" },
  { ChangeState::Copying, "copying" },
  { ChangeState::Accepted, "accepted" },
  { ChangeState::Invalid, "invalid" },
  { ChangeState::Conflict, "conflict" },
  { ChangeState::Refused, "refused" },
  { ChangeState::Undecided, "undecided" },
} };
} // namespace

std::string_view
ChangeStateName(ChangeState aState)
{
  return FindEnumName(kStateNames, aState);
}

bool
IsFinal(ChangeState aState)
{
  return aState != ChangeState::Writing && aState != ChangeState::Unknown &&
         aState != ChangeState::Copying;
}

ConfigController::ConfigController(std::string aSelf,
                                   std::string aFailureDomain,
                                   const HashRings& aRings,
                                   Dissemination& aDissemination,
                                   Validator aValidator)
  : mSelf(std::move(aSelf))
  , mFailureDomain(std::move(aFailureDomain))
  , mRings(aRings)
  , mDissemination(aDissemination)
  , mValidator(std::move(aValidator))
{
}

void
ConfigController::SetState(Change& aChange,
                           ChangeState aState,
                           const std::string& aDetail,
                           Instant aNow,
                           ConfigControllerResult& aResult)
{
  aChange.mStatus.mState = aState;
  aChange.mStatus.mDetail = aDetail;
  aChange.mStateChangedAt = aNow;
  aResult.mChanged.push_back(aChange.mStatus);
}

ConfigControllerResult
ConfigController::Propose(const ConfigChange& aChange, Instant aNow)
{
  ConfigControllerResult result;
  const auto [it, isNew] = mChanges.insert({ aChange.mId, Change{} });
  if (!isNew) {
    result.mChanged.push_back(it->second.mStatus);
    return result;
  }
  Change& change = it->second;
  change.mStatus.mId = aChange.mId;
  change.mStatus.mKey = aChange.mKey;
  change.mExpected = aChange.mExpected;
  const absl::Status status = mValidator(aChange.mKey, aChange.mBody);
  if (!status.ok()) {
    SetState(change,
             ChangeState::Invalid,
             std::string(status.message()),
             aNow,
             result);
    return result;
  }
  if (aChange.mBody.size() + kRecentChangesBytes > kMaxObjectBytes) {
    SetState(change, ChangeState::Invalid, "too large", aNow, result);
    return result;
  }
  const ConfigObject* current = mDissemination.Find(aChange.mKey);
  const std::uint64_t version = mDissemination.Version(aChange.mKey);
  if (version > aChange.mExpected) {
    change.mStatus.mVersion = version;
    SetState(change, ChangeState::Conflict, "already changed", aNow, result);
    return result;
  }
  change.mBody = aChange.mBody;
  SetState(change, ChangeState::Writing, "", aNow, result);
  if (version < aChange.mExpected) {
    ReadBack(change, result);
    return result;
  }
  AddToRecentChanges(change,
                     current == nullptr ? std::string() : current->mBody);
  Write(change, result);
  return result;
}

void
ConfigController::AddToRecentChanges(Change& aChange, const std::string& aBase)
{
  const RecentChange change{ ChangeDigest(aChange.mStatus.mId),
                             aChange.mExpected };
  aChange.mBody = AddChange(aChange.mBody, change, RecentChanges(aBase));
  aChange.mIsInRecentChanges = true;
}

void
ConfigController::Write(Change& aChange, ConfigControllerResult& aResult)
{
  aChange.mIsStoreCallPending = true;
  StorePutAction put;
  put.mChangeId = aChange.mStatus.mId;
  put.mKey = aChange.mStatus.mKey;
  put.mBody = aChange.mBody;
  if (aChange.mExpected != 0) {
    put.mExpected = aChange.mExpected;
  }
  aResult.mPuts.push_back(std::move(put));
}

void
ConfigController::ReadBack(Change& aChange, ConfigControllerResult& aResult)
{
  aChange.mIsStoreCallPending = true;
  aResult.mGets.push_back({ aChange.mStatus.mId, aChange.mStatus.mKey });
}

ConfigControllerResult
ConfigController::OnPut(const std::string& aChangeId,
                        const absl::StatusOr<std::uint64_t>& aVersion,
                        Instant aNow)
{
  ConfigControllerResult result;
  const auto it = mChanges.find(aChangeId);
  if (it == mChanges.end() || IsFinal(it->second.mStatus.mState)) {
    return result;
  }
  Change& change = it->second;
  change.mIsStoreCallPending = false;
  if (aVersion.ok()) {
    OnCommitted(change, *aVersion, aNow, result);
    return result;
  }
  const bool isReplyLost = absl::IsUnknown(aVersion.status()) ||
                           absl::IsDeadlineExceeded(aVersion.status());
  const bool isWriting = change.mStatus.mState == ChangeState::Writing;
  const std::string detail(aVersion.status().message());
  if (absl::IsFailedPrecondition(aVersion.status())) {
    // The answer to the operator needs the current version. The conflicting
    // write may also be an earlier attempt of this change.
    ReadBack(change, result);
    return result;
  }
  if (isWriting && !isReplyLost) {
    SetState(change, ChangeState::Refused, detail, aNow, result);
    return result;
  }
  change.mHasLostReply = true;
  SetState(change, ChangeState::Unknown, detail, aNow, result);
  change.mNextStep = aNow + (isWriting ? Duration(0) : kReadBackRetryInterval);
  return result;
}

ConfigControllerResult
ConfigController::OnGet(const std::string& aChangeId,
                        const absl::StatusOr<StoredObject>& aObject,
                        Instant aNow)
{
  ConfigControllerResult result;
  const auto it = mChanges.find(aChangeId);
  if (it == mChanges.end() || IsFinal(it->second.mStatus.mState)) {
    return result;
  }
  Change& change = it->second;
  change.mIsStoreCallPending = false;
  if (!change.mIsInRecentChanges) {
    ReadBase(change, aObject, aNow, result);
    return result;
  }
  if (absl::IsNotFound(aObject.status())) {
    if (change.mExpected == 0) {
      Write(change, result);
    } else {
      SetState(change, ChangeState::Conflict, "deleted", aNow, result);
    }
    return result;
  }
  if (!aObject.ok()) {
    SetState(change,
             ChangeState::Unknown,
             std::string(aObject.status().message()),
             aNow,
             result);
    change.mNextStep = aNow + kReadBackRetryInterval;
    return result;
  }
  ResolveReadBack(change, *aObject, aNow, result);
  return result;
}

void
ConfigController::ReadBase(Change& aChange,
                           const absl::StatusOr<StoredObject>& aObject,
                           Instant aNow,
                           ConfigControllerResult& aResult)
{
  if (!aObject.ok() && !absl::IsNotFound(aObject.status())) {
    // No write was sent yet, so the change certainly had no effect.
    SetState(aChange,
             ChangeState::Refused,
             std::string(aObject.status().message()),
             aNow,
             aResult);
    return;
  }
  const std::uint64_t version = aObject.ok() ? aObject->mVersion : 0;
  if (version != aChange.mExpected) {
    aChange.mStatus.mVersion = version;
    SetState(aChange, ChangeState::Conflict, "already changed", aNow, aResult);
    return;
  }
  AppendResult(aResult,
               mDissemination.OnStoredObject(
                 aObject->mKey, aObject->mVersion, aObject->mBody));
  AddToRecentChanges(aChange, aObject->mBody);
  Write(aChange, aResult);
}

void
ConfigController::ResolveReadBack(Change& aChange,
                                  const StoredObject& aObject,
                                  Instant aNow,
                                  ConfigControllerResult& aResult)
{
  if (aObject.mVersion == aChange.mExpected) {
    // The write whose reply was lost may still be applied. Repeating it is
    // safe, because at most one of the two writes can succeed.
    Write(aChange, aResult);
    return;
  }
  AppendResult(aResult,
               mDissemination.OnStoredObject(
                 aObject.mKey, aObject.mVersion, aObject.mBody));
  const auto recent = RecentChanges(aObject.mBody);
  if (const auto version = VersionOf(aChange, aObject)) {
    OnCommitted(aChange, *version, aNow, aResult);
    return;
  }
  const bool isBaseReplaced =
    std::any_of(recent.begin(), recent.end(), [&](const RecentChange& aItem) {
      return aItem.mBase == aChange.mExpected;
    });
  const bool isConflict = isBaseReplaced || !aChange.mHasLostReply;
  aChange.mStatus.mVersion = aObject.mVersion;
  SetState(aChange,
           isConflict ? ChangeState::Conflict : ChangeState::Undecided,
           isConflict ? "another change won" : "later changes hide the result",
           aNow,
           aResult);
}

std::optional<std::uint64_t>
ConfigController::VersionOf(const Change& aChange, const StoredObject& aObject)
{
  const std::string digest = ChangeDigest(aChange.mStatus.mId);
  // Each entry names the version that it replaced, which is the version that
  // the next older entry created.
  std::uint64_t version = aObject.mVersion;
  for (const auto& it : RecentChanges(aObject.mBody)) {
    if (it.mDigest == digest) {
      return version;
    }
    version = it.mBase;
  }
  return std::nullopt;
}

void
ConfigController::OnCommitted(Change& aChange,
                              std::uint64_t aVersion,
                              Instant aNow,
                              ConfigControllerResult& aResult)
{
  aChange.mStatus.mVersion = aVersion;
  AppendResult(aResult,
               mDissemination.OnStoredObject(
                 aChange.mStatus.mKey, aVersion, aChange.mBody));
  SetState(aChange, ChangeState::Copying, "", aNow, aResult);
  SendCopies(aChange, aNow, aResult);
  FinishIfCopied(aChange, aNow, aResult);
}

void
ConfigController::SendCopies(Change& aChange,
                             Instant aNow,
                             ConfigControllerResult& aResult)
{
  aChange.mNextStep = aNow + kCopyRetryInterval;
  // Each attempt selects other peers by hash, in case the earlier ones do not
  // answer.
  const auto attempt = aChange.mCopyAttempts++;
  const auto peers =
    mRings.SelectAcrossDomains(absl::StrCat(aChange.mStatus.mId, "/", attempt),
                               kMinCopyDomains + 1,
                               mFailureDomain);
  for (const auto& it : peers.empty() ? mRings.Names() : peers) {
    if (it != mSelf) {
      aResult.mDisseminated.mMessages.push_back(
        { it, mDissemination.MakeCopy(aChange.mStatus.mKey) });
    }
  }
}

bool
ConfigController::HasCopies(const Change& aChange) const
{
  std::set<std::string> domains = mRings.FailureDomains();
  domains.erase(mFailureDomain);
  if (domains.size() < kMinCopyDomains) {
    const auto names = mRings.Names();
    return std::all_of(names.begin(), names.end(), [&](const auto& aName) {
      return aName == mSelf || aChange.mAcknowledged.count(aName) != 0;
    });
  }
  std::set<std::string> copied;
  for (const auto& [name, domain] : aChange.mAcknowledged) {
    if (domain != mFailureDomain) {
      copied.insert(domain);
    }
  }
  return copied.size() >= kMinCopyDomains;
}

void
ConfigController::FinishIfCopied(Change& aChange,
                                 Instant aNow,
                                 ConfigControllerResult& aResult)
{
  if (aChange.mStatus.mState == ChangeState::Copying && HasCopies(aChange)) {
    SetState(aChange, ChangeState::Accepted, "", aNow, aResult);
  }
}

ConfigControllerResult
ConfigController::OnDigest(const std::string& aFrom,
                           const wire::ConfigDigest& aMessage,
                           Instant aNow)
{
  ConfigControllerResult result;
  for (auto& [id, change] : mChanges) {
    if (change.mStatus.mState != ChangeState::Copying) {
      continue;
    }
    for (const auto& it : aMessage.versions) {
      const auto version = static_cast<std::uint64_t>(it.version);
      const std::string domain = mRings.FailureDomainOf(aFrom);
      if (it.version > 0 && it.key == change.mStatus.mKey &&
          version >= change.mStatus.mVersion && !domain.empty()) {
        change.mAcknowledged[aFrom] = domain;
      }
    }
    FinishIfCopied(change, aNow, result);
  }
  return result;
}

ConfigControllerResult
ConfigController::Tick(Instant aNow)
{
  ConfigControllerResult result;
  for (auto it = mChanges.begin(); it != mChanges.end();) {
    Change& change = it->second;
    const ChangeState state = change.mStatus.mState;
    if (IsFinal(state) && aNow - change.mStateChangedAt > kFinishedRetention) {
      it = mChanges.erase(it);
      continue;
    }
    if (state == ChangeState::Unknown && !change.mIsStoreCallPending &&
        aNow >= change.mNextStep) {
      ReadBack(change, result);
    } else if (state == ChangeState::Copying) {
      FinishIfCopied(change, aNow, result);
      if (!IsFinal(change.mStatus.mState) && aNow >= change.mNextStep) {
        SendCopies(change, aNow, result);
      }
    }
    ++it;
  }
  return result;
}

const ChangeStatus*
ConfigController::Find(const std::string& aChangeId) const
{
  const auto it = mChanges.find(aChangeId);
  return it == mChanges.end() ? nullptr : &it->second.mStatus;
}

void
ConfigController::AppendResult(ConfigControllerResult& aResult,
                               DisseminationResult aMore)
{
  AppendOutbox(aResult.mDisseminated.mMessages, std::move(aMore.mMessages));
  for (auto& it : aMore.mAdopted) {
    aResult.mDisseminated.mAdopted.push_back(std::move(it));
  }
}

} // namespace bulrushfold
