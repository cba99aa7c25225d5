#include "Emulator/EngineState.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace bulrushfold {

namespace {
std::string
ModelKey(const std::string& aModel, const std::string& aAdapter)
{
  return aAdapter.empty() ? aModel : absl::StrCat(aModel, ":", aAdapter);
}
} // namespace

std::optional<EngineRole>
ParseEngineRole(std::string_view aName)
{
  for (const EngineRole it :
       { EngineRole::Prefill, EngineRole::Decode, EngineRole::Both }) {
    if (EngineRoleName(it) == aName) {
      return it;
    }
  }
  return std::nullopt;
}

EngineState::EngineState(EventLoop& aLoop,
                         const EngineEmulatorSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mRole(aSettings.mRole)
  , mModels(aSettings.mModels.begin(), aSettings.mModels.end())
{
}

OrderResult
EngineState::Apply(const EngineOrder& aOrder)
{
  if (mSettings.mChecksFencing && aOrder.mFencing < mHighestFencing) {
    return OrderResult::StaleFencing;
  }
  mHighestFencing = std::max(mHighestFencing, aOrder.mFencing);
  const std::string model = ModelKey(aOrder.mModel, aOrder.mAdapter);
  bool isValid = true;
  if (aOrder.mOrder == "role") {
    isValid = ChangeRole(aOrder.mRole);
  } else if (aOrder.mOrder == "load_model") {
    isValid = LoadModel(model);
  } else if (aOrder.mOrder == "unload_model") {
    mModels.erase(model);
  } else if (aOrder.mOrder == "drain" || aOrder.mOrder == "resume") {
    mIsDraining = aOrder.mOrder == "drain";
  } else {
    isValid = false;
  }
  return isValid ? OrderResult::Accepted : OrderResult::Invalid;
}

bool
EngineState::ChangeRole(const std::string& aRole)
{
  const auto role = ParseEngineRole(aRole);
  if (role) {
    mRoleTimer =
      mLoop.After(mSettings.mRoleChangeTime, [this, role] { mRole = *role; });
  }
  return role.has_value();
}

bool
EngineState::LoadModel(const std::string& aName)
{
  if (aName.empty()) {
    return false;
  }
  const bool isLoadedOrQueued =
    mModels.count(aName) > 0 ||
    std::find(mLoading.begin(), mLoading.end(), aName) != mLoading.end();
  if (!isLoadedOrQueued) {
    mLoading.push_back(aName);
    if (mLoading.size() == 1) {
      LoadNext();
    }
  }
  return true;
}

void
EngineState::LoadNext()
{
  if (mLoading.empty()) {
    return;
  }
  const double seconds =
    mSettings.mWeightBytes / mSettings.mWeightBytesPerSecond;
  mLoadTimer = mLoop.After(FromSeconds(seconds), [this] {
    mModels.insert(mLoading.front());
    mLoading.pop_front();
    LoadNext();
  });
}

bool
EngineState::Serves(const std::string& aModel,
                    const std::string& aAdapter) const
{
  return mModels.count(aModel) > 0 &&
         mModels.count(ModelKey(aModel, aAdapter)) > 0;
}

} // namespace bulrushfold
